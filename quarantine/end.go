package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
)

// digestBytes is the part of a digest that stands for a name of any length: names of one request's servers and attempts only have to
// differ among themselves.
const digestBytes = 8

// End says that a server ended while it ran a request that it had just begun.
type End struct {
	Request Fingerprint
	// Server stands for the start of the server, and Attempt for the caller's attempt.
	Server  string
	Attempt string
}

// NewEnd returns the End of a server's start under an attempt of a caller, by their names.
func NewEnd(request Fingerprint, server, attempt string) End {
	return End{Request: request, Server: Short(server), Attempt: Short(attempt)}
}

// Short returns a text of fixed length that stands for a name.
func Short(name string) string {
	digest := sha256.Sum256([]byte(name))
	return hex.EncodeToString(digest[:digestBytes])
}
