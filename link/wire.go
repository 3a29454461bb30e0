package link

import (
	"crypto/tls"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	protocol    = "jx-link/1"
	maxMessage  = 8 << 20
	idleTimeout = 20 * time.Second
)

// Trust holds what an instance proves itself with and decides whose proof it accepts.
type Trust interface {
	// Server returns settings for a listener that demands a proof of its callers.
	Server(protocols ...string) *tls.Config
	// Client returns settings for connections to instances, whatever their address.
	Client(protocols ...string) *tls.Config
}

// Kind names a call.
type Kind uint8

// Calls between instances.
const (
	KindExchange Kind = iota + 1
	KindUpdates
	KindHead
	KindSegment
	KindStatus
	KindClaim
	KindNews
	KindFollow
	KindRoll
)

// Errors of this layer.
var (
	// ErrUnreachable means that the peer could not be reached; the call did not run there.
	ErrUnreachable = errors.New("link: peer unreachable")
	// ErrLost means that the call may have run although its answer was lost.
	ErrLost = errors.New("link: answer lost")
	// ErrRefused means that the peer did not serve the call.
	ErrRefused = errors.New("link: call refused")
)

type request struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

type response struct {
	Refused string          `cbor:"1,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           2 * time.Second,
		InitialStreamReceiveWindow:     64 << 10,
		InitialConnectionReceiveWindow: 128 << 10,
	}
}

func readMessage[T any](r io.Reader) (T, error) {
	var value T
	body, err := io.ReadAll(io.LimitReader(r, maxMessage))
	if err != nil {
		return value, err
	}
	err = cbor.Unmarshal(body, &value)
	return value, err
}

func writeMessage(w io.Writer, value any) error {
	body, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	_, err = w.Write(body)
	return err
}
