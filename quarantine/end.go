package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// digestBytes is the length of the digest that stands for a name. It can be short, since it only has to differ among the
// servers and attempts of one request.
const digestBytes = 8

const (
	// maxDigestChars bounds what names a server or an attempt; other builds may have longer digests.
	maxDigestChars = 64
	// maxServiceBytes bounds the name of a service.
	maxServiceBytes = 128
	// maxPartListBytes is the greatest length of a list that newPartList returns.
	maxPartListBytes = maxPartsOfEnd * (maxPartIDBytes + len(partSeparator))
	hexDigits        = "0123456789abcdef"
)

// End records that a server terminated while it ran a request that it had just begun.
type End struct {
	Request Fingerprint
	// Server is the digest of the server's incarnation, and Attempt that of the caller's attempt.
	Server  string
	Attempt string
	Suspects
}

// Suspects are the parts of a request's prompt that may have terminated a server.
type Suspects struct {
	// Service is the name of the server's service.
	Service string
	// Parts lists the parts that are not known to be harmless.
	Parts PartList
	// JustBegun is true if the server had begun to answer the request immediately before it terminated.
	JustBegun bool
}

// NewSuspects returns the parts that may have terminated a server of a service.
func NewSuspects(service string, parts []Part, justBegun bool) Suspects {
	return Suspects{Service: service, Parts: newPartList(parts), JustBegun: justBegun}
}

// NewEnd returns the End of a server under an attempt of a caller, given the names of the server's incarnation and of
// the attempt.
func NewEnd(request Fingerprint, server, attempt string) End {
	return End{Request: request, Server: ShortDigest(server), Attempt: ShortDigest(attempt)}
}

// ShortDigest returns a digest of a name, in hexadecimal digits and of fixed length.
func ShortDigest(name string) string {
	digest := sha256.Sum256([]byte(name))
	return hex.EncodeToString(digest[:digestBytes])
}

// Fault returns the name of the field because of which an end can't be used, or an empty string. Each end is a key of the store, which
// takes several in one call: one that it can't take would keep the others from being written.
func (e End) Fault() string {
	switch {
	case e.Server == "" || len(e.Server) > maxDigestChars || strings.Trim(e.Server, hexDigits) != "":
		return "server"
	case len(e.Attempt) > maxDigestChars:
		return "attempt"
	case len(e.Service) > maxServiceBytes:
		return "service"
	default:
		return ""
	}
}

// shownValue returns the start of the value of a field that Fault has returned, for the log.
func (e End) shownValue(field string) string {
	value := map[string]string{"server": e.Server, "attempt": e.Attempt, "service": e.Service}[field]
	return value[:min(len(value), maxDigestChars)]
}

// shortened returns the suspects with a list of parts as this build makes them, which may be shorter.
func (s Suspects) shortened() Suspects {
	if len(s.Parts) > maxPartListBytes {
		s.Parts = newPartList(s.Parts.at(s.Service))
	}
	return s
}
