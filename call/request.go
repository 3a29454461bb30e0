package call

import (
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/models"
)

// Meta is what the head of a request contains beside its method and path.
type Meta struct {
	// ID identifies one attempt of a caller.
	ID string
	// Key is the bearer key that authenticates the caller.
	Key string
	// Wait is how long the caller will wait for the answer; 0 means that the head does not say.
	Wait time.Duration
	// ResumeAfter is the id of the last event that the caller has received; it is empty for a new stream.
	ResumeAfter string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// AnswerTokens is the maximum length of the answer in tokens.
	AnswerTokens int
	// HintTokens is the caller's estimate of the answer's length in tokens; 0 means none.
	HintTokens int
	// PromptParts holds the ids of the parts that make up the prompt, in order. The last part belongs to this request or its
	// session; the others may be shared with other requests.
	PromptParts []string
}

// SharedParts returns the ids of the parts of the prompt that other requests may have as well.
func (m *Meta) SharedParts() []string {
	if len(m.PromptParts) == 0 {
		return nil
	}
	return m.PromptParts[:len(m.PromptParts)-1]
}

// Stage is one server of a path with the layers that it runs.
type Stage struct {
	// Addr is the server's IP number and port.
	Addr   string
	Layers models.Layers
}

// Urgency says how urgent a request is among all that a server may let in.
type Urgency struct {
	// Named is false when all requests of the service are equally urgent, so that the head says nothing.
	Named bool
	// Level is from 0, the most urgent, to MaxUrgencyLevel.
	Level int
}

// MaxUrgencyLevel is the Level of the least urgent requests.
const MaxUrgencyLevel = 9

// SendParams holds what is added to the head of a request when it is sent to a server.
type SendParams struct {
	// Target is the id of the server that is to run the request; a server with another id must refuse it.
	Target string
	// Account is the name of the client account; it is empty when no key was needed.
	Account string
	// Remaining is how long the caller will still wait.
	Remaining time.Duration
	// Path lists the servers that run the model's layers, in order; it is empty for plain services.
	Path []Stage
	// ResumeAfter is the id of the last event that was passed on to the caller.
	ResumeAfter string
	// Urgency is how urgent the request is.
	Urgency Urgency
	// BodyBytes is the length of the body, or -1 for a request without one.
	BodyBytes int
}

// Load is a server's load as its answer reports it.
type Load struct {
	// Running is the number of requests that the server runs.
	Running int
	// Waiting is the number of requests that wait in the server's queue.
	Waiting int
	// Slots is the number of requests that the server can run at once.
	Slots int
	// Known is false when the answer reported no load.
	Known bool
}

// Answer is what the head of a server's answer contains.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Sealed means that the answer carries the server's signature.
	Sealed bool
	// Ambiguous means that the answer names several requests or carries several signatures, so that it is not known whose it is.
	Ambiguous bool
	// NotRun means that the server reports that it did not run the request.
	NotRun bool
	// Fault is the address of the server on the path that caused a refusal.
	Fault string
	// Load is the load of the server that answered.
	Load Load
	// Closing means that the server closes the connection after this answer.
	Closing bool
	// KeepAlive is how long the server keeps an idle connection open; 0 means that the answer does not say.
	KeepAlive time.Duration
	Notice
}

// Notice is what a server announces about itself in any answer.
type Notice struct {
	// Leaving means that the server is about to shut down.
	Leaving bool
	// RetryAfter is how long this instance is to send no new work to the server, which refused the request; 0 means that the answer
	// does not say.
	RetryAfter time.Duration
	// Limit is the server's rate limit.
	Limit Limit
}

// Limit is the rate of requests that a server accepts from all instances together. It applies as long as the server's answers
// name it.
type Limit struct {
	// Named is true when the answer names a limit.
	Named bool
	// PerSecond is the number of requests per second; it is negative when the value cannot be parsed.
	PerSecond float64
}

// Codec reads and writes the heads of requests and answers in the form that the callers and backend servers use.
type Codec interface {
	// ReadRequest returns the contents of the head of a caller's request; a required field that is missing or malformed is an error.
	ReadRequest(h *fasthttp.RequestHeader) (Meta, error)
	// AppendRequest appends the head of a request for a server: the caller's head h with the values of send added or replaced.
	AppendRequest(dst []byte, h *fasthttp.RequestHeader, send *SendParams) []byte
	// ReadAnswer returns the contents of the head of a server's answer.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	// AppendAnswer appends the head of the answer for the caller, without the headers that frame the body and without the final
	// blank line.
	AppendAnswer(dst []byte, h *fasthttp.ResponseHeader) []byte
	// AppendRetryAfter appends the header that tells a refused caller when to try again.
	AppendRetryAfter(dst []byte, after time.Duration) []byte
}
