package entry

import (
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

func FuzzDecodeChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
		`{"model":"m","messages":[{"role":"user","content":null}]}`, `[]`, `{"messages":{}}`, "\xff", `{"model":"m","messages":[{}]}`,
		`{"n":-1}`, `{"max_tokens":1e400}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := decodeChat(body)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.NotEmpty(t, p.model)
		require.NotEmpty(t, p.prompt)
		require.True(t, utf8.ValidString(p.prompt))
		require.Positive(t, p.maxTokens)
		require.LessOrEqual(t, p.maxTokens, maxMaxTokens)
	})
}

func FuzzDecodeCompletion(f *testing.F) {
	for _, seed := range []string{`{"model":"m","prompt":"hi"}`, `{"model":"m","prompt":["hi"]}`, `{"model":"m","prompt":[1,2]}`, `{}`, `null`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := decodeCompletion(body)
		if err == nil {
			require.NotEmpty(t, p.prompt)
		}
	})
}
