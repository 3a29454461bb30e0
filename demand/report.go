package demand

import "time"

// Horizons are the times for which a Report gives the expected number of streams that end.
var Horizons = [...]time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// Ends holds, for each of the Horizons, the number of streams that are expected to end within it.
type Ends [len(Horizons)]float64

// Class is a set of requests that compete for room on equal terms.
type Class struct {
	Rank Rank `cbor:"1,keyasint"`
	// Account is the name of the client account; it is empty where accounts are not told apart.
	Account string `cbor:"2,keyasint,omitempty"`
}

// Rates holds the recent requests of a class, in requests a second. Offered and Refused count the first tries of callers only;
// Returned counts the later tries.
type Rates struct {
	Class    Class   `cbor:"1,keyasint"`
	Offered  float64 `cbor:"2,keyasint,omitempty"`
	Refused  float64 `cbor:"3,keyasint,omitempty"`
	Returned float64 `cbor:"4,keyasint,omitempty"`
}

// Report is what one instance knows of the load on one service.
type Report struct {
	Service string `cbor:"1,keyasint"`
	// UnderWay is the number of the instance's streams that have room, and Waiting the number of those that wait for it.
	UnderWay int `cbor:"2,keyasint,omitempty"`
	Waiting  int `cbor:"3,keyasint,omitempty"`
	// Room is the number of sequences for which the paths inside the instance's failure domain have memory, 0 if it knows none.
	Room float64 `cbor:"4,keyasint,omitempty"`
	// Lifetime is the mean time from the arrival of a request to the end of its stream.
	Lifetime time.Duration `cbor:"5,keyasint,omitempty"`
	Ends     Ends          `cbor:"6,keyasint,omitempty"`
	Classes  []Rates       `cbor:"7,keyasint,omitempty"`
	// ToldToReturn is the number of refused callers whom the instance told to return at a time that has not come yet.
	ToldToReturn int `cbor:"8,keyasint,omitempty"`
	// ToldRate is the number of callers that the instance lately told to return, a second.
	ToldRate float64 `cbor:"9,keyasint,omitempty"`
}

// Totals is the load on one service from all instances of a failure domain, as far as their reports are known, or the sum of
// several domains (see Book.Fleet).
type Totals struct {
	Service string `cbor:"1,keyasint"`
	Domain  string `cbor:"2,keyasint"`
	// Instances is the number of instances whose reports are included.
	Instances int `cbor:"3,keyasint,omitempty"`
	// Age is the mean age of these reports; that of the sum of several domains is the greatest of theirs.
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
	UnderWay int           `cbor:"5,keyasint,omitempty"`
	Waiting  int           `cbor:"6,keyasint,omitempty"`
	Room     float64       `cbor:"7,keyasint,omitempty"`
	Lifetime time.Duration `cbor:"8,keyasint,omitempty"`
	Ends     Ends          `cbor:"9,keyasint,omitempty"`
	Classes  []Rates       `cbor:"10,keyasint,omitempty"`
	// ToldToReturn is the number of refused callers who were told to return at a time that has not come yet.
	ToldToReturn int `cbor:"11,keyasint,omitempty"`
	// ToldRate is the number of callers that were lately told to return, a second.
	ToldRate float64 `cbor:"12,keyasint,omitempty"`
}
