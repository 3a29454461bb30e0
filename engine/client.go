package engine

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/once"
)

const (
	dialTimeout = 300 * time.Millisecond
	// maxReplySize is in bytes.
	maxReplySize = 64 << 20
	// maxConnections bounds the connections to one server.
	maxConnections = 64
	// idleConnection is how long an idle connection is kept.
	idleConnection    = 30 * time.Second
	contentTypeBinary = "application/cbor"
)

// Client makes single HTTP calls to engines. A connection whose answer is late or incomplete is closed and never reused.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a Client with its own pool of connections.
func NewClient() *Client {
	client := once.NewClient(dialTimeout)
	client.MaxConnsPerHost = maxConnections
	client.MaxIdleConnDuration = idleConnection
	client.MaxResponseBodySize = maxReplySize
	return &Client{http: client}
}

// Step runs a batch of frames on the server at addr.
func (c *Client) Step(addr string, call StepCall, timeout time.Duration) (StepReply, error) {
	return exchange[StepCall, StepReply](c, addr, PathStep, call, timeout)
}

// Cancel makes the server delete what it holds for the attempts.
func (c *Client) Cancel(addr string, cancel Cancel, timeout time.Duration) error {
	_, err := exchange[Cancel, bool](c, addr, PathCancel, cancel, timeout)
	return err
}

// Report returns the state that the server reports.
func (c *Client) Report(addr string, timeout time.Duration) (Report, error) {
	return exchange[bool, Report](c, addr, PathReport, true, timeout)
}

// Order tells the server which layers to hold; ErrFenced means that it has accepted an order of a later leader.
func (c *Client) Order(addr string, order Order, timeout time.Duration) error {
	_, err := exchange[Order, bool](c, addr, PathOrder, order, timeout)
	return err
}

// Export returns the KV cache of an attempt.
func (c *Client) Export(addr string, id AttemptID, timeout time.Duration) (Snapshot, error) {
	return exchange[AttemptID, Snapshot](c, addr, PathExport, id, timeout)
}

// Import copies the KV cache of an attempt to the server.
func (c *Client) Import(addr string, snapshot Snapshot, timeout time.Duration) error {
	_, err := exchange[Snapshot, bool](c, addr, PathImport, snapshot, timeout)
	return err
}

func exchange[Q, A any](c *Client, addr, path string, request Q, timeout time.Duration) (A, error) {
	var zero A
	body, err := Encode(request)
	if err != nil {
		return zero, errors.Wrap(ErrRefused, err.Error())
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(contentTypeBinary)
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return zero, callError(err)
	}
	return readAnswer[A](resp)
}

func readAnswer[A any](resp *fasthttp.Response) (A, error) {
	var zero A
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
	case fasthttp.StatusConflict:
		return zero, ErrFenced
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusNotFound:
		return zero, errors.Wrapf(ErrRefused, "status %d", code)
	default:
		return zero, errors.Wrapf(ErrLost, "status %d", code)
	}
	answer, err := Decode[A](resp.Body())
	if err != nil {
		return zero, errors.Wrap(ErrLost, err.Error())
	}
	return answer, nil
}

// callError returns the error of this package that corresponds to one of the HTTP library.
func callError(err error) error {
	if once.NeverSent(err) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return errors.Wrap(ErrTimeout, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}
