package engine

import (
	"github.com/fxamacker/cbor/v2"

	"junctioncross/models"
)

// Paths of the engine's HTTP interface.
const (
	PathStep   = "/v1/step"
	PathCancel = "/v1/cancel"
	PathReport = "/v1/report"
	PathOrder  = "/v1/order"
	PathExport = "/v1/kv/export"
	PathImport = "/v1/kv/import"
	PathEvents = "/v1/cache/events"
)

// Code tells what the engine did with a frame.
type Code uint8

// Outcomes of a frame.
const (
	// CodeDone means that the layers ran over the whole input.
	CodeDone Code = iota + 1
	// CodeNotStarted means that the engine did not run the frame.
	CodeNotStarted
	// CodeOutOfOrder means that the frame's position is not the next one of its attempt; it was not run.
	CodeOutOfOrder
)

// Frame asks a backend server to run its layers over the next positions of one attempt.
type Frame struct {
	Request  string        `cbor:"1,keyasint"`
	Attempt  uint32        `cbor:"2,keyasint"`
	Position int           `cbor:"3,keyasint"`
	Layers   models.Layers `cbor:"4,keyasint"`
	Model    string        `cbor:"5,keyasint"`
	// Input holds one value for each position: token ids if Layers begins with the first layer, activations otherwise.
	Input []uint64 `cbor:"6,keyasint,omitempty"`
	// Text replaces Input in the first frame of a request whose prompt has not been tokenized yet.
	Text     string `cbor:"7,keyasint,omitempty"`
	Priority int    `cbor:"8,keyasint,omitempty"`
}

// Result answers one Frame; its first four fields repeat those of the frame.
type Result struct {
	Request  string        `cbor:"1,keyasint"`
	Attempt  uint32        `cbor:"2,keyasint"`
	Position int           `cbor:"3,keyasint"`
	Layers   models.Layers `cbor:"4,keyasint"`
	Code     Code          `cbor:"5,keyasint"`
	// Output holds one activation for each position, or only the next token id if Layers ends with the last layer.
	Output []uint64 `cbor:"6,keyasint,omitempty"`
	// Tokens holds the token ids of the frame's Text.
	Tokens []uint64 `cbor:"7,keyasint,omitempty"`
	// Piece is the text of the next token, if Layers ends with the last layer.
	Piece string `cbor:"8,keyasint,omitempty"`
	// End is true when the next token ends the answer.
	End bool `cbor:"9,keyasint,omitempty"`
}

// Answers reports whether the result belongs to the frame.
func (r *Result) Answers(f *Frame) bool {
	return r.Request == f.Request && r.Attempt == f.Attempt && r.Position == f.Position && r.Layers == f.Layers
}

// StepCall carries a batch of frames for one backend server.
type StepCall struct {
	Frames []Frame `cbor:"1,keyasint"`
}

// StepReply carries one result for each frame of the call, in the same order, and the server's state.
type StepReply struct {
	Results []Result `cbor:"1,keyasint"`
	// StepMicros is the length of the last step, in microseconds.
	StepMicros int64 `cbor:"2,keyasint"`
	// Leaving means that the server is about to shut down.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// Cancel tells a backend server to delete what it holds for the attempts.
type Cancel struct {
	Attempts []AttemptID `cbor:"1,keyasint"`
}

// AttemptID identifies one attempt of one request.
type AttemptID struct {
	Request string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
}

// Snapshot is the exported KV cache of one attempt on one backend server.
type Snapshot struct {
	ID       AttemptID     `cbor:"1,keyasint"`
	Model    string        `cbor:"2,keyasint"`
	Layers   models.Layers `cbor:"3,keyasint"`
	Position int           `cbor:"4,keyasint"`
	Cache    []uint64      `cbor:"5,keyasint"`
}

// State is the serving state that a backend server reports.
type State string

// States of a backend server.
const (
	StateEmpty   State = "empty"
	StateLoading State = "loading"
	StateReady   State = "ready"
)

// Report is the state that a backend server reports; unless a field says otherwise, it may be outdated.
type Report struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Incarnation grows whenever the server's process restarts.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// Sequence grows with every report of one incarnation.
	Sequence   uint64        `cbor:"3,keyasint" json:"sequence"`
	State      State         `cbor:"4,keyasint" json:"state"`
	Model      string        `cbor:"5,keyasint" json:"model"`
	Version    string        `cbor:"6,keyasint" json:"version"`
	Layers     models.Layers `cbor:"7,keyasint" json:"layers"`
	Leaving    bool          `cbor:"8,keyasint" json:"leaving"`
	Running    int           `cbor:"9,keyasint" json:"running"`
	Waiting    int           `cbor:"10,keyasint" json:"waiting"`
	StepMicros int64         `cbor:"11,keyasint" json:"step_us"`
	Fence      uint64        `cbor:"12,keyasint" json:"fence"`
	// Held is the number of attempts whose KV cache the server holds; it is up to date.
	Held int `cbor:"13,keyasint" json:"held"`
}

// Order tells a backend server which layers of a model to hold.
type Order struct {
	// Fence is the fencing token of the leader that gives the order: a server rejects an order with a lower token than it has seen.
	Fence   uint64        `cbor:"1,keyasint"`
	Model   string        `cbor:"2,keyasint"`
	Version string        `cbor:"3,keyasint"`
	Layers  models.Layers `cbor:"4,keyasint"`
	// Total is the number of layers of the whole model.
	Total int `cbor:"5,keyasint"`
}

// Encode returns the CBOR encoding of a wire value.
func Encode[T any](value T) ([]byte, error) { return cbor.Marshal(value) }

// Decode returns the wire value that body encodes; malformed input is an error.
func Decode[T any](body []byte) (T, error) {
	var value T
	err := cbor.Unmarshal(body, &value)
	return value, err
}
