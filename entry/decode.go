package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	defaultMaxTokens = 64
	maxMaxTokens     = 8192
	maxMessages      = 4096
)

// completionParams holds the parameters of a chat completion or a completion.
type completionParams struct {
	model        string
	prompt       string
	maxTokens    int
	stream       bool
	includeUsage bool
}

type commonBody struct {
	Model               string         `json:"model"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	N                   *int           `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatBody struct {
	commonBody
	Messages []message `json:"messages"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type completionBody struct {
	commonBody
	Prompt json.RawMessage `json:"prompt"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// decodeChat decodes the body of a chat completion; the messages become one prompt with a line for each.
func decodeChat(body []byte) (completionParams, error) {
	var b chatBody
	if err := decodeJSON(body, &b); err != nil {
		return completionParams{}, err
	}
	if len(b.Messages) == 0 || len(b.Messages) > maxMessages {
		return completionParams{}, errors.Errorf("messages: %d given; accepted: 1 to %d", len(b.Messages), maxMessages)
	}
	var text strings.Builder
	for i, m := range b.Messages {
		if m.Role == "" {
			return completionParams{}, errors.Errorf("messages[%d].role: is missing", i)
		}
		content, err := textOf(m.Content)
		if err != nil {
			return completionParams{}, errors.WithMessagef(err, "messages[%d].content", i)
		}
		fmt.Fprintf(&text, "%s: %s\n", m.Role, content)
	}
	return b.params(text.String())
}

// decodeCompletion decodes the body of a completion.
func decodeCompletion(body []byte) (completionParams, error) {
	var b completionBody
	if err := decodeJSON(body, &b); err != nil {
		return completionParams{}, err
	}
	text, err := textOf(b.Prompt)
	if err != nil {
		return completionParams{}, errors.WithMessage(err, "prompt")
	}
	return b.params(text)
}

func decodeJSON(body []byte, out any) error {
	if !utf8.Valid(body) {
		return errors.New("body is not valid UTF-8")
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Errorf("body is not the expected JSON: %v", err)
	}
	return nil
}

func (b *commonBody) params(text string) (completionParams, error) {
	if b.Model == "" {
		return completionParams{}, errors.New("model: is missing")
	}
	if b.N != nil && *b.N != 1 {
		return completionParams{}, errors.New("n: accepted: 1")
	}
	limit := defaultMaxTokens
	if b.MaxTokens != nil {
		limit = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		limit = *b.MaxCompletionTokens
	}
	if limit < 1 || limit > maxMaxTokens {
		return completionParams{}, errors.Errorf("max_tokens: %d given; accepted: 1 to %d", limit, maxMaxTokens)
	}
	p := completionParams{model: b.Model, prompt: text, maxTokens: limit, stream: b.Stream}
	p.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	return p, nil
}

// textOf decodes a JSON string, a list of one string or a list of text parts.
func textOf(raw json.RawMessage) (string, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", errors.New("is missing")
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return nonEmpty(text)
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) == nil && len(parts) > 0 {
		return joinParts(parts)
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil && len(texts) == 1 {
		return nonEmpty(texts[0])
	}
	return "", errors.New("accepted: a text, one text in a list, or a list of text parts")
}

func joinParts(parts []contentPart) (string, error) {
	var b strings.Builder
	for i, p := range parts {
		if p.Type != "text" {
			return "", errors.Errorf("part %d has type %q; accepted: text", i, p.Type)
		}
		b.WriteString(p.Text)
	}
	return nonEmpty(b.String())
}

func nonEmpty(text string) (string, error) {
	if text == "" {
		return "", errors.New("is empty")
	}
	return text, nil
}
