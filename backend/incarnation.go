package backend

import "strconv"

// Incarnation names one start of a backend server. What is known of another start of the server says nothing of this one.
type Incarnation struct {
	ID string
	// Born is the moment of the start in milliseconds since 1970; 0 means that the server does not tell.
	Born int64
}

// String returns the incarnation as a name.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// After reports whether the incarnation is known to have come after another one of the same server.
func (i Incarnation) After(other Incarnation) bool { return other.Born != 0 && i.Born > other.Born }
