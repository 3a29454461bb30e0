package entry

import "encoding/json"

// summary holds what the bodies of an answer say about the answer so far.
type summary struct {
	id               string
	model            string
	created          int64
	promptTokens     int
	completionTokens int
	// stopped is true once the model has ended the answer by itself, not by the maximum number of tokens.
	stopped bool
}

func (s summary) finishReason() *string {
	reason := "length"
	if s.stopped {
		reason = "stop"
	}
	return &reason
}

func (s summary) usage() *usageBody {
	return &usageBody{Prompt: s.promptTokens, Completion: s.completionTokens, Total: s.promptTokens + s.completionTokens}
}

type usageBody struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index   int          `json:"index"`
	Message *messageBody `json:"message,omitempty"`
	Delta   *messageBody `json:"delta,omitempty"`
	Text    *string      `json:"text,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type listBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// format encodes the answers of one API call: complete as one body, or chunk by chunk, of which an empty chunk is not sent. The
// types below are its only implementations.
type format interface {
	complete(s summary, text string) []byte
	firstChunk(s summary) []byte
	textChunk(s summary, text string) []byte
	lastChunk(s summary) []byte
	usageChunk(s summary) []byte
}

type chatFormat struct{}

const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
	roleAssistant   = "assistant"
)

func (chatFormat) complete(s summary, text string) []byte {
	b := answerOf(s, objectChat, choiceBody{Message: &messageBody{Role: roleAssistant, Content: text}, Finish: s.finishReason()})
	b.Usage = s.usage()
	return encode(b)
}

func (chatFormat) firstChunk(s summary) []byte {
	return encode(answerOf(s, objectChatChunk, choiceBody{Delta: &messageBody{Role: roleAssistant}}))
}

func (chatFormat) textChunk(s summary, text string) []byte {
	return encode(answerOf(s, objectChatChunk, choiceBody{Delta: &messageBody{Content: text}}))
}

func (chatFormat) lastChunk(s summary) []byte {
	return encode(answerOf(s, objectChatChunk, choiceBody{Delta: &messageBody{}, Finish: s.finishReason()}))
}

func (chatFormat) usageChunk(s summary) []byte { return usageOf(s, objectChatChunk) }

type completionFormat struct{}

func (completionFormat) complete(s summary, text string) []byte {
	b := answerOf(s, objectText, choiceBody{Text: &text, Finish: s.finishReason()})
	b.Usage = s.usage()
	return encode(b)
}

func (completionFormat) firstChunk(summary) []byte { return nil }

func (completionFormat) textChunk(s summary, text string) []byte {
	return encode(answerOf(s, objectText, choiceBody{Text: &text}))
}

func (completionFormat) lastChunk(s summary) []byte {
	empty := ""
	return encode(answerOf(s, objectText, choiceBody{Text: &empty, Finish: s.finishReason()}))
}

func (completionFormat) usageChunk(s summary) []byte { return usageOf(s, objectText) }

func answerOf(s summary, object string, c choiceBody) answerBody {
	return answerBody{ID: s.id, Object: object, Created: s.created, Model: s.model, Choices: []choiceBody{c}}
}

func usageOf(s summary, object string) []byte {
	return encode(answerBody{
		ID: s.id, Object: object, Created: s.created, Model: s.model,
		Choices: []choiceBody{}, Usage: s.usage(),
	})
}

// encode returns the JSON of a body whose type can always be encoded.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		return []byte("{}")
	}
	return body
}
