package backend

import "strconv"

// Incarnation identifies one process of a backend server, from its start to its end. What is known of one incarnation does not
// hold for the next one, which begins when the server restarts.
type Incarnation struct {
	ID string
	// Born is the start time of the process, in milliseconds since 1970; 0 means that the server did not say.
	Born int64
}

// String returns the server's ID, followed by the start time if it is known.
func (i Incarnation) String() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.Born, 10)
}

// After reports whether the incarnation is known to be newer than another one of the same server.
func (i Incarnation) After(other Incarnation) bool { return other.Born != 0 && i.Born > other.Born }
