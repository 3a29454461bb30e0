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
	// protocol is the TLS application protocol (ALPN) of connections between instances.
	protocol = "jx-link/1"
	// streamProtocol is the protocol of connections that carry streams instead of calls.
	streamProtocol = "jx-stream/1"
	// maxStreams is how many streams one instance may have open at another.
	maxStreams = 1024
	// maxMessage is the maximum size of a request or response in bytes.
	maxMessage = 8 << 20
	// idleTimeout is how long a connection without traffic is kept.
	idleTimeout = 20 * time.Second
	// streamSilence is how long the other end of a connection for streams may be silent. It is less than the two seconds without an
	// event after which callers disconnect.
	streamSilence = 1500 * time.Millisecond
	// streamPing is after which silence a connection for streams is tested; the test may begin the idle time anew.
	streamPing = 250 * time.Millisecond
)

// Trust provides the TLS settings by which instances authenticate to each other.
type Trust interface {
	// Server returns the settings of a listener that requires a certificate of its callers.
	Server(protocols ...string) *tls.Config
	// Client returns the settings of connections to instances; the certificate of an instance is not bound to its address.
	Client(protocols ...string) *tls.Config
}

// Kind identifies a type of call; it is the number that is sent.
type Kind uint8

// Calls between instances.
const (
	// KindExchange sends a gossip digest and returns the updates that the caller lacks.
	KindExchange Kind = iota + 1
	// KindUpdates sends the gossip updates that the callee lacks.
	KindUpdates
	// KindHead returns the head of the configuration in force.
	KindHead
	// KindSegment returns the segment of the configuration that has the given hash.
	KindSegment
	// KindStatus returns the status of each instance that the callee knows.
	KindStatus
	// KindClaim decides a claim at the instance that owns its partition.
	KindClaim
	// KindNewerHead returns the head of the configuration in force if it is newer than the caller's.
	KindNewerHead
	// KindPoll polls for updates of a feed.
	KindPoll
	// KindRecords returns the registration records of the instances.
	KindRecords
	// KindTotals returns the totals of the load reports of a failure domain.
	KindTotals
)

// Errors of calls.
var (
	// ErrUnreachable means that no connection to the instance could be used; it did not run the call.
	ErrUnreachable = errors.New("link: peer unreachable")
	// ErrLost means that no valid answer was received; the call may have run.
	ErrLost = errors.New("link: answer lost")
	// ErrRefused means that the instance rejected the connection or the call, or that the call failed there.
	ErrRefused = errors.New("link: call refused")
)

// request is the message that begins a call.
type request struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// response is the answer to a request: either the reason of a refusal or the result.
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
		// What came before the reset of a stream is not lost with it.
		EnableStreamResetPartialDelivery: true,
	}
}

// listenConfig returns the configuration of a listener; its connections carry calls or streams.
func listenConfig() *quic.Config {
	c := quicConfig()
	c.MaxIncomingStreams = maxStreams
	return c
}

// streamConfig returns the configuration of a connection for streams, which ends soon after the other end has vanished.
func streamConfig() *quic.Config {
	c := quicConfig()
	c.MaxIdleTimeout, c.KeepAlivePeriod, c.HandshakeIdleTimeout = streamSilence-streamPing, streamPing, streamSilence
	return c
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
