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

// Client asks entry instances for answers, each time over a connection of its own pool.
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

// Ask is one request for an answer.
type Ask struct {
	Addr   string
	Key    string
	Model  string
	Prompt string
	Limit  int
	// OnToken is called at each piece of the answer, with the number of pieces before it.
	OnToken func(n int)
}

// Reply is what came of a request.
type Reply struct {
	Text   string
	Tokens int
	// Finish is the finish reason, empty when the answer was cut.
	Finish string
	Status int
	Fate   models.Fate
	Reason models.Reason
	// RequestID is the id that the instance gave the request.
	RequestID      string
	FirstTokenTime time.Duration
	Gaps           []time.Duration
	Total          time.Duration
}

// Complete reports whether the answer came to its end.
func (r *Reply) Complete() bool { return r.Finish != "" }

type requestBody struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Limit    int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// RoleUser is the role under which prompts are sent.
const RoleUser = "user"

// PromptText returns the text that a model sees for a prompt sent by Stream.
func PromptText(prompt string) string { return RoleUser + ": " + prompt + "\n" }

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

// Stream asks for a streamed answer; the error says that the connection failed before or within the answer, and Reply then
// holds what had come until then.
func (c *Client) Stream(ctx context.Context, a Ask) (*Reply, error) {
	body, err := json.Marshal(requestBody{
		Model: a.Model, Messages: []message{{Role: RoleUser, Content: a.Prompt}}, Limit: a.Limit, Stream: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "load: encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "load: request")
	}
	req.Header.Set("Authorization", "Bearer "+a.Key)
	req.Header.Set("Content-Type", "application/json")
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return &Reply{}, errors.Wrap(err, "load: no answer")
	}
	defer resp.Body.Close()
	r := &Reply{Status: resp.StatusCode, RequestID: resp.Header.Get(models.HeaderRequestID)}
	if resp.StatusCode != http.StatusOK {
		err = r.readError(resp.Body)
		return r, err
	}
	err = r.readEvents(resp.Body, start, a.OnToken)
	r.Total = time.Since(start)
	return r, err
}

func (r *Reply) readError(body io.Reader) error {
	var c chunk
	if err := json.NewDecoder(io.LimitReader(body, 1<<20)).Decode(&c); err != nil || c.Error == nil {
		return errors.Errorf("load: status %d without an error body", r.Status)
	}
	r.Fate, r.Reason = c.Error.Fate, c.Error.Code
	return nil
}

func (r *Reply) readEvents(body io.Reader, start time.Time, onToken func(int)) error {
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
			return errors.Wrap(err, "load: event")
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
		return errors.Wrap(err, "load: stream cut")
	}
	return errors.New("load: stream ended without its end mark")
}

func (r *Reply) addToken(sinceStart, sinceLast time.Duration) {
	if r.Tokens == 0 {
		r.FirstTokenTime = sinceStart
	} else {
		r.Gaps = append(r.Gaps, sinceLast)
	}
	r.Tokens++
}
