package call

import (
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/models"
)

// Meta is what the head of a request says, apart from its method and path.
type Meta struct {
	// ID names one attempt of a caller.
	ID string
	// Key is what the caller proves itself with.
	Key string
	// Wait is how long the caller will wait for the answer; 0 means that it did not say.
	Wait time.Duration
	// ResumeAfter is the id of the last event that the caller has; it is empty for a new stream.
	ResumeAfter string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// AnswerTokens is the most tokens that the answer may have.
	AnswerTokens int
	// HintTokens is the caller's estimate of the answer's length; 0 means none.
	HintTokens int
}

// Part is one server of a path with the layers that it runs.
type Part struct {
	Addr   string
	Layers models.Layers
}

// Send is what the system adds to a request for one server.
type Send struct {
	// Target is the id of the server that is to run the request; another one must refuse it.
	Target string
	// Account is the name of the caller's account; it is empty when no key was needed.
	Account string
	// Remaining is how long the caller will still wait.
	Remaining time.Duration
	// Path is empty for plain services.
	Path []Part
	// ResumeAfter is the id of the last event that was passed on.
	ResumeAfter string
	// BodyBytes is the length of the body, or -1 for a request without one.
	BodyBytes int
}

// Load is what a server says of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Known is false when the answer said nothing.
	Known bool
}

// Answer is what the head of a server's answer says.
type Answer struct {
	Status int
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Sealed answers carry the server's signature.
	Sealed bool
	// NotRun means that the server says that it did not run the request.
	NotRun bool
	// Fault is the address of the server on the path that is to blame for a refusal.
	Fault string
	Load  Load
	// Closing means that the connection is about to go.
	Closing bool
	// KeepAlive is how long the server keeps an idle connection; 0 means that it did not say.
	KeepAlive time.Duration
	Notice
}

// Notice is what a server says of itself in any answer.
type Notice struct {
	// Leaving means that the server itself is about to go.
	Leaving bool
	// RetryAfter is how long the server, which turned the request away, wants nothing from this instance; 0 means that it did not say.
	RetryAfter time.Duration
	// Limit is how many requests the server takes.
	Limit Limit
}

// Limit is the rate of requests that a server takes from all instances together, as long as its answers name it.
type Limit struct {
	// Named is true when the answer names a limit.
	Named bool
	// PerSecond is the number of requests a second; it is negative when what was named cannot be read.
	PerSecond float64
}

// Codec reads and writes the heads of requests and answers in the words of the systems around.
type Codec interface {
	// ReadRequest returns what the head of a caller's request says.
	ReadRequest(h *fasthttp.RequestHeader) (Meta, error)
	// AppendRequest appends the head of a request for a server, which is that of the caller but for what send says.
	AppendRequest(dst []byte, h *fasthttp.RequestHeader, send *Send) []byte
	// ReadAnswer returns what the head of a server's answer says.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	// AppendAnswer appends the head of the answer for the caller, without the headers that frame the body.
	AppendAnswer(dst []byte, h *fasthttp.ResponseHeader) []byte
	// AppendRetryAfter appends the header that tells a refused caller when to come back.
	AppendRetryAfter(dst []byte, after time.Duration) []byte
}
