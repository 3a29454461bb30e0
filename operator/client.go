package operator

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/control"
	"junctioncross/keys"
	"junctioncross/once"
	"junctioncross/revision"
)

const (
	// clientTimeout is longer than callTimeout, so that the instance ends a slow call first.
	clientTimeout    = 20 * time.Second
	dialTimeout      = 3 * time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the operators' API of an instance.
type Client struct {
	base string
	http *fasthttp.Client
}

// NewClient returns a Client of the instance at addr that presents the certificate of certs.
func NewClient(addr string, certs *keys.CertReloader) *Client {
	client := once.NewClient(dialTimeout)
	client.TLSConfig = certs.Client()
	client.MaxResponseBodySize = maxResponseBytes
	return &Client{base: "https://" + addr, http: client}
}

// FailureError is the error for a failure that the instance reported.
type FailureError struct{ failure Failure }

// Failure returns the instance's description of the failure.
func (r *FailureError) Failure() Failure { return r.failure }

// Error returns the message, followed by a line for each problem and, if the call may have taken effect, one that says so.
func (r *FailureError) Error() string {
	lines := append([]string{r.failure.Message}, r.failure.Problems...)
	if !r.failure.Settled {
		lines = append(lines, "it is not known yet whether this took effect")
	}
	return strings.Join(lines, "\n  ")
}

// Intent submits an intent for storage; errors refer to its file by name.
func (c *Client) Intent(name string, yaml []byte) (IntentAnswer, error) {
	return request[IntentAnswer](c, fasthttp.MethodPost, "/v1/intents?name="+url.QueryEscape(name), yaml)
}

// MakePlan has the instance compute and store the plan of an intent.
func (c *Client) MakePlan(intentID string) (revision.Plan, error) {
	return request[revision.Plan](c, fasthttp.MethodPost, "/v1/intents/"+intentID+"/plan", nil)
}

// Plan returns a stored plan.
func (c *Client) Plan(id string) (revision.Plan, error) {
	return request[revision.Plan](c, fasthttp.MethodGet, "/v1/plans/"+id, nil)
}

// Confirm confirms a plan, which makes it the accepted configuration, and returns its entry in the history.
func (c *Client) Confirm(planID string) (revision.Entry, error) {
	return request[revision.Entry](c, fasthttp.MethodPost, "/v1/plans/"+planID+"/confirm", nil)
}

// Status returns the status of every known instance of the fleet, sorted by name.
func (c *Client) Status() ([]control.InstanceStatus, error) {
	return request[[]control.InstanceStatus](c, fasthttp.MethodGet, "/v1/status", nil)
}

// History returns the entries of the confirmed plans, the newest first.
func (c *Client) History() ([]revision.Entry, error) {
	return request[[]revision.Entry](c, fasthttp.MethodGet, "/v1/history", nil)
}

// request sends a call and decodes the response; a failure that the instance reports is returned as a *Refused.
func request[A any](c *Client, method, path string, body []byte) (A, error) {
	var value A
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, clientTimeout); err != nil {
		return value, errors.Wrap(err, "no answer; ask again to learn what became of the call")
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		err := json.Unmarshal(resp.Body(), &value)
		return value, errors.Wrap(err, "answer")
	}
	var f Failure
	if err := json.Unmarshal(resp.Body(), &f); err != nil {
		return value, errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return value, &FailureError{failure: f}
}
