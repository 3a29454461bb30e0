package tunnel

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxOpen is the maximum size of an open message in bytes.
const maxOpen = 1024

// open asks another instance for a tunnel to a server. It is sent behind its length as the first bytes of a stream.
type open struct {
	// Server and Born name the incarnation of the server.
	Server string `cbor:"1,keyasint"`
	Born   int64  `cbor:"2,keyasint"`
	// Request is the id of the request that the tunnel is for; empty for a call that belongs to none.
	Request string `cbor:"3,keyasint,omitempty"`
	// NewWork is true if the tunnel is to bring the server a request.
	NewWork bool `cbor:"4,keyasint,omitempty"`
	// From is the name of the instance that asks.
	From string `cbor:"5,keyasint"`
}

// Verdict is what another instance answers to an open message; it is the number that is sent.
type Verdict uint8

// Verdicts.
const (
	// Opened means that the connection to the server is up; all further bytes are those of the connection.
	Opened Verdict = iota + 1
	// UnknownServer means that the instance knows no such incarnation of the server.
	UnknownServer
	// NotListening means that nothing listens at the server's address.
	NotListening
	// Unreachable means that the connection to the server did not come up.
	Unreachable
	// NoPath means that the instance does not reach the server over its own links and knows that.
	NoPath
	// Stopping means that the instance is about to end.
	Stopping
	// Busy means that the instance has as many tunnels as it carries.
	Busy
	// ServerLeaving means that the server takes no new work.
	ServerLeaving
)

// verdictNames are the verdicts as metrics and log lines name them.
var verdictNames = map[Verdict]string{
	Opened: "opened", UnknownServer: "unknown_server", NotListening: "not_listening", Unreachable: "unreachable", NoPath: "no_path",
	Stopping: "stopping", Busy: "busy", ServerLeaving: "server_leaving",
}

// String implements fmt.Stringer.
func (v Verdict) String() string {
	if name := verdictNames[v]; name != "" {
		return name
	}
	return "invalid"
}

// reply is the answer to an open message.
type reply struct {
	verdict Verdict
	// carried is the number of tunnels that the instance carries.
	carried uint16
}

// replySize is the size of an encoded reply in bytes.
const replySize = 3

func writeOpen(w io.Writer, o open) error {
	body, err := cbor.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "tunnel: encode")
	}
	if len(body) > maxOpen {
		return errors.Errorf("tunnel: open message of %d bytes", len(body))
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(body))), body...))
	return err
}

func readOpen(r io.Reader) (open, error) {
	var o open
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return o, err
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > maxOpen {
		return o, errors.Errorf("tunnel: open message of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return o, err
	}
	err := cbor.Unmarshal(body, &o)
	return o, err
}

func writeReply(w io.Writer, a reply) error {
	_, err := w.Write(binary.BigEndian.AppendUint16([]byte{byte(a.verdict)}, a.carried))
	return err
}

func readReply(r io.Reader) (reply, error) {
	var body [replySize]byte
	if _, err := io.ReadFull(r, body[:]); err != nil {
		return reply{}, err
	}
	return reply{verdict: Verdict(body[0]), carried: binary.BigEndian.Uint16(body[1:])}, nil
}
