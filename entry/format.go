package entry

import "encoding/json"

// summary is what the bodies of an answer say about it.
type summary struct {
	id         string
	model      string
	created    int64
	prompt     int
	completion int
	ended      bool
}

func (s summary) reason() *string {
	reason := "length"
	if s.ended {
		reason = "stop"
	}
	return &reason
}

func (s summary) usage() *usageBody {
	return &usageBody{Prompt: s.prompt, Completion: s.completion, Total: s.prompt + s.completion}
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

// format writes answers in the shape of one API call; the types below are its only implementations.
type format interface {
	whole(s summary, text string) []byte
	open(s summary) []byte
	piece(s summary, text string) []byte
	close(s summary) []byte
	usage(s summary) []byte
}

type chatFormat struct{}

const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
	roleAssistant   = "assistant"
)

func (chatFormat) whole(s summary, text string) []byte {
	b := answerOf(s, objectChat, choiceBody{Message: &messageBody{Role: roleAssistant, Content: text}, Finish: s.reason()})
	b.Usage = s.usage()
	return encode(b)
}

func (chatFormat) open(s summary) []byte {
	return encode(answerOf(s, objectChatChunk, choiceBody{Delta: &messageBody{Role: roleAssistant}}))
}

func (chatFormat) piece(s summary, text string) []byte {
	return encode(answerOf(s, objectChatChunk, choiceBody{Delta: &messageBody{Content: text}}))
}

func (chatFormat) close(s summary) []byte {
	return encode(answerOf(s, objectChatChunk, choiceBody{Delta: &messageBody{}, Finish: s.reason()}))
}

func (chatFormat) usage(s summary) []byte { return usageOf(s, objectChatChunk) }

type completionFormat struct{}

func (completionFormat) whole(s summary, text string) []byte {
	b := answerOf(s, objectText, choiceBody{Text: &text, Finish: s.reason()})
	b.Usage = s.usage()
	return encode(b)
}

func (completionFormat) open(summary) []byte { return nil }

func (completionFormat) piece(s summary, text string) []byte {
	return encode(answerOf(s, objectText, choiceBody{Text: &text}))
}

func (completionFormat) close(s summary) []byte {
	empty := ""
	return encode(answerOf(s, objectText, choiceBody{Text: &empty, Finish: s.reason()}))
}

func (completionFormat) usage(s summary) []byte { return usageOf(s, objectText) }

func answerOf(s summary, object string, c choiceBody) answerBody {
	return answerBody{ID: s.id, Object: object, Created: s.created, Model: s.model, Choices: []choiceBody{c}}
}

func usageOf(s summary, object string) []byte {
	return encode(answerBody{
		ID: s.id, Object: object, Created: s.created, Model: s.model,
		Choices: []choiceBody{}, Usage: s.usage(),
	})
}

// encode turns a body that is known to be encodable into JSON.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		return []byte("{}")
	}
	return body
}
