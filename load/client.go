package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"junctioncross/models"
)

// Client sends requests to entry instances over its own pool of connections.
type Client struct {
	http *http.Client
}

// NewClient returns a Client for many concurrent requests.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// Request is one request for an answer of a model.
type Request struct {
	Addr string
	// Key is the bearer key of the account.
	Key    string
	Model  string
	Prompt string
	// MaxTokens is the maximum length of the answer in tokens.
	MaxTokens int
	// OnToken, if not nil, is called for each token of the answer with the number of tokens before it.
	OnToken func(n int)
}

// Response is the answer to a request, as far as it arrived.
type Response struct {
	Text string
	// Tokens is the number of events with text, each of which carries one token.
	Tokens int
	// Finish is the finish reason. It is empty if the answer was cut off or refused.
	Finish string
	// Status is the HTTP status, zero if there was no response.
	Status int
	// Fate and Reason come from the error body or error event, if there was one.
	Fate   models.Fate
	Reason models.Reason
	// RequestID is the id that the instance gave the request.
	RequestID string
	// FirstTokenTime is the time from the request to the first token.
	FirstTokenTime time.Duration
	// Gaps are the times between consecutive tokens.
	Gaps []time.Duration
	// Total is the time from the request to the end of a streamed answer.
	Total time.Duration
}

// Complete reports whether the answer arrived with its finish reason.
func (r *Response) Complete() bool { return r.Finish != "" }

// requestBody is the body of a chat completion request.
type requestBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// RoleUser is the role under which prompts are sent.
const RoleUser = "user"

// PromptText returns the text that a model sees for a prompt sent by Stream.
func PromptText(prompt string) string { return RoleUser + ": " + prompt + "\n" }

// chunk is one event of a streamed answer, or the body of an error response.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Code models.Reason `json:"code"`
		Fate models.Fate   `json:"fate"`
	} `json:"error"`
}

// Stream sends a request for a streamed answer. It returns an error if the connection failed before or during the answer, or
// if the response could not be read. The Reply then holds what had arrived until then; it is nil if the request could not be
// built.
func (c *Client) Stream(ctx context.Context, a Request) (*Response, error) {
	body, err := json.Marshal(requestBody{
		Model: a.Model, Messages: []message{{Role: RoleUser, Content: a.Prompt}}, MaxTokens: a.MaxTokens, Stream: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "load: encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "load: create request")
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	req.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return &Response{}, errors.Wrap(err, "load: send request")
	}
	defer resp.Body.Close()
	r := &Response{Status: resp.StatusCode, RequestID: resp.Header.Get(models.HeaderRequestID)}
	if resp.StatusCode != http.StatusOK {
		err = r.readError(resp.Body)
		return r, err
	}
	err = r.readEvents(resp.Body, start, a.OnToken)
	r.Total = time.Since(start)
	return r, err
}

// readError reads fate and reason from the body of an error response.
func (r *Response) readError(body io.Reader) error {
	var c chunk
	if err := json.NewDecoder(io.LimitReader(body, 1<<20)).Decode(&c); err != nil || c.Error == nil {
		return errors.Errorf("load: status %d without an error body", r.Status)
	}
	r.Fate, r.Reason = c.Error.Fate, c.Error.Code
	return nil
}

// readEvents reads the events of a streamed answer up to its end or its error event.
func (r *Response) readEvents(body io.Reader, start time.Time, onToken func(int)) error {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	last := start
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return errors.Wrap(err, "load: decode event")
		}
		if c.Error != nil {
			r.Fate, r.Reason = c.Error.Fate, c.Error.Code
			return nil
		}
		if len(c.Choices) == 0 {
			continue
		}
		if c.Choices[0].Finish != nil {
			r.Finish = *c.Choices[0].Finish
		}
		if c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		r.addToken(now.Sub(start), now.Sub(last))
		last = now
		text.WriteString(c.Choices[0].Delta.Content)
		if onToken != nil {
			onToken(r.Tokens - 1)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "load: read stream")
	}
	return errors.New("load: stream ended without [DONE]")
}

// addToken records the arrival of a token, given the times since the request and since the token before it.
func (r *Response) addToken(sinceStart, sinceLast time.Duration) {
	if r.Tokens == 0 {
		r.FirstTokenTime = sinceStart
	} else {
		r.Gaps = append(r.Gaps, sinceLast)
	}
	r.Tokens++
}
