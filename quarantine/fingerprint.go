package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// fingerprintBytes is the part of the digest that is kept: two different requests share it by chance in one of 2^64 pairs of 2^64.
const fingerprintBytes = 16

// ErrFingerprint means that a text is no fingerprint.
var ErrFingerprint = errors.New("quarantine: not a fingerprint")

// Fingerprint stands for a request by its path, caller and body; each attempt of a caller at one request has the same.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request: host and target as they were sent, the caller's account and the body.
func FingerprintOf(host, target []byte, account string, body []byte) Fingerprint {
	digest := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{host, target, []byte(account), body} {
		// The lengths keep apart requests whose parts only join to the same bytes.
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

// ParseFingerprint reads what String wrote; it returns ErrFingerprint.
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
