package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// fingerprintBytes is the length of the kept part of the digest. Two different requests share it with a probability of
// 2^-128, so that a collision is to be expected only among about 2^64 requests.
const fingerprintBytes = 16

// ErrFingerprint means that a text is not a fingerprint.
var ErrFingerprint = errors.New("quarantine: not a fingerprint")

// Fingerprint identifies a request by its host, target, client account, body and prompt; all attempts of a caller at one
// request have the same fingerprint.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request, given host and target as they were sent, the client account, the body
// and the ids of the parts of the prompt.
func FingerprintOf(host, target []byte, account string, body []byte, prompt ...string) Fingerprint {
	digest := sha256.New()
	var length [8]byte
	fields := [][]byte{host, target, []byte(account), body}
	for _, id := range prompt {
		fields = append(fields, []byte(id))
	}
	for _, part := range fields {
		// The lengths distinguish requests whose parts are divided differently, but join to the same bytes.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	var f Fingerprint
	copy(f[:], digest.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses what String returned; it returns ErrFingerprint.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	if len(text) != hex.EncodedLen(len(f)) {
		return f, ErrFingerprint
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, ErrFingerprint
	}
	return f, nil
}
