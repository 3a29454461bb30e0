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
	"junctioncross/revision"
)

const clientTimeout = 20 * time.Second

// Client calls an instance's operators' listener.
type Client struct {
	base string
	http *fasthttp.Client
}

// NewClient returns a Client of the instance at addr that shows the ring's certificate.
func NewClient(addr string, ring *keys.CertReloader) *Client {
	return &Client{base: "https://" + addr, http: &fasthttp.Client{
		TLSConfig: ring.Client(), MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 64 << 20,
	}}
}

// Refused is a failure that the instance reported.
type Refused struct{ failure Failure }

// Failure returns what the instance said.
func (r *Refused) Failure() Failure { return r.failure }

// Error returns the message with every problem on a line of its own.
func (r *Refused) Error() string {
	lines := append([]string{r.failure.Message}, r.failure.Problems...)
	if !r.failure.Settled {
		lines = append(lines, "it is not known yet whether this took effect")
	}
	return strings.Join(lines, "\n  ")
}

// Intent states an intent; name stands for its file in errors.
func (c *Client) Intent(name string, yaml []byte) (IntentAnswer, error) {
	return request[IntentAnswer](c, fasthttp.MethodPost, "/v1/intents?name="+url.QueryEscape(name), yaml)
}

// MakePlan makes the plan of an intent.
func (c *Client) MakePlan(intentID string) (revision.Plan, error) {
	return request[revision.Plan](c, fasthttp.MethodPost, "/v1/intents/"+intentID+"/plan", nil)
}

// Plan returns a plan.
func (c *Client) Plan(id string) (revision.Plan, error) {
	return request[revision.Plan](c, fasthttp.MethodGet, "/v1/plans/"+id, nil)
}

// Confirm confirms a plan.
func (c *Client) Confirm(planID string) (revision.Entry, error) {
	return request[revision.Entry](c, fasthttp.MethodPost, "/v1/plans/"+planID+"/confirm", nil)
}

// Status returns every instance.
func (c *Client) Status() ([]control.InstanceStatus, error) {
	return request[[]control.InstanceStatus](c, fasthttp.MethodGet, "/v1/status", nil)
}

// History returns the confirmed plans, the newest first.
func (c *Client) History() ([]revision.Entry, error) {
	return request[[]revision.Entry](c, fasthttp.MethodGet, "/v1/history", nil)
}

// request sends a call and decodes its answer; a reported failure becomes a *Refused.
func request[A any](c *Client, method, path string, body []byte) (A, error) {
	var answer A
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, clientTimeout); err != nil {
		return answer, errors.Wrap(err, "no answer; ask again to learn what became of the call")
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		err := json.Unmarshal(resp.Body(), &answer)
		return answer, errors.Wrap(err, "answer")
	}
	var f Failure
	if err := json.Unmarshal(resp.Body(), &f); err != nil {
		return answer, errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return answer, &Refused{failure: f}
}
