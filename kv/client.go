package kv

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/metrics"
	"junctioncross/once"
)

const (
	defaultCallTimeout = 3 * time.Second
	watchTimeout       = 10 * time.Second
	dialTimeout        = 3 * time.Second
	maxResponseBytes   = 64 << 20
)

// Client is a Store that calls the key-value service over HTTP.
type Client struct {
	base  string
	http  *fasthttp.Client
	stats *metrics.Registry
}

// New returns a Client for the service at addr, an IP address and port; it counts its calls in stats.
func New(addr string, stats *metrics.Registry) *Client {
	client := once.NewClient(dialTimeout)
	client.MaxResponseBodySize = maxResponseBytes
	return &Client{base: "http://" + addr, stats: stats, http: client}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	body, err := c.call(ctx, "get", fasthttp.MethodGet, "/kv/"+key, nil)
	if err != nil {
		return Record{}, readError(err)
	}
	return decodeRecord(body)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Record, error) {
	body, err := c.call(ctx, "list", fasthttp.MethodGet, "/list?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, readError(err)
	}
	var records []Record
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return records, nil
}

// Write implements Store.
func (c *Client) Write(ctx context.Context, put Put) (Revision, error) {
	path := fmt.Sprintf("/kv/%s?expect=%d&ttl_ms=%d", put.Key, put.Expect, put.TTL.Milliseconds())
	body, err := c.call(ctx, "write", fasthttp.MethodPut, path, put.Value)
	if err != nil {
		return 0, err
	}
	record, err := decodeRecord(body)
	if err != nil {
		return 0, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return record.Revision, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	_, err := c.call(ctx, "delete", fasthttp.MethodDelete, fmt.Sprintf("/kv/%s?expect=%d", key, expect), nil)
	return err
}

// Wait implements Store.
func (c *Client) Wait(ctx context.Context, key string, after Revision) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	path := fmt.Sprintf("/watch/%s?after=%d&wait_ms=%d", key, after, (watchTimeout - time.Second).Milliseconds())
	body, err := c.call(ctx, "watch", fasthttp.MethodGet, path, nil)
	if err != nil {
		return Record{}, readError(err)
	}
	return decodeRecord(body)
}

// call sends one request and returns the body of the response; it maps failures and statuses to the errors of this package.
func (c *Client) call(ctx context.Context, kind, method, path string, value []byte) ([]byte, error) {
	c.stats.Counter(fmt.Sprintf("kv_calls_total{kind=%q}", kind)).Inc(1)
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(method)
	req.SetBody(value)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, c.sendError(err)
	}
	return c.responseBody(resp)
}

// sendError maps a failed call to ErrUnavailable if it was never sent, and to ErrOutcomeUnknown if it may have been.
func (c *Client) sendError(err error) error {
	if once.NeverSent(err) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

func (c *Client) responseBody(resp *fasthttp.Response) ([]byte, error) {
	switch code := resp.StatusCode(); code {
	case fasthttp.StatusOK:
		return append([]byte(nil), resp.Body()...), nil
	case fasthttp.StatusNotFound:
		return nil, ErrNotFound
	case fasthttp.StatusPreconditionFailed:
		return nil, ErrConflict
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return nil, errors.Wrapf(ErrUnavailable, "status %d", code)
	default:
		return nil, errors.Wrapf(ErrOutcomeUnknown, "status %d", code)
	}
}

// readError turns ErrOutcomeUnknown into ErrUnavailable for reads, which have no side effects.
func readError(err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return err
}

func decodeRecord(body []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(body, &r); err != nil {
		return r, errors.Wrap(ErrUnavailable, err.Error())
	}
	return r, nil
}
