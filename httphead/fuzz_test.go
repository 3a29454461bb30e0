package httphead_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"junctioncross/httphead/headcase"
)

// The grammar of a head in RFC 9112 (2.1, 4 and 5) and RFC 9110 (5.1 and 5.5), apart from the code that is tested. The status is one that exists,
// or above those, and the blank before an empty reason may be missing.
var (
	strictHead  = regexp.MustCompile(`\A(?s:HTTP/1\.([0-9]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?\r\n((?:` + strictField + `\r\n)*)\r\n)`)
	strictLine  = regexp.MustCompile(`(?s:(` + strictName + `):[ \t]*([^\r\n]*?)[ \t]*\r\n)`)
	strictSizes = regexp.MustCompile(`\A[0-9]+\z`)
)

const (
	strictName  = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	strictField = strictName + `:[\t\x20-\x7e\x80-\xff]*`
)

// latin1 returns the text whose runes are the bytes, since expressions match runes and heads are bytes.
func latin1(raw []byte) string {
	runes := make([]rune, len(raw))
	for i, b := range raw {
		runes[i] = rune(b)
	}
	return string(runes)
}

// strictly returns the headers of a strictly read head by name, in the order of their lines.
func strictly(lines string) map[string][]string {
	out := map[string][]string{}
	for _, l := range strictLine.FindAllStringSubmatch(lines, -1) {
		name := strings.ToLower(l[1])
		out[name] = append(out[name], l[2])
	}
	return out
}

// FuzzAHeadThatPassesIsSoundAndReadsTheSame guards against heads that the check or the HTTP library mends: one that passes is a head in a strict
// reading, and has the same status and headers there.
func FuzzAHeadThatPassesIsSoundAndReadsTheSame(f *testing.F) {
	for _, c := range headcase.Broken() {
		f.Add([]byte(c.Answer("X-B: 2\r\n", "data")))
	}
	for _, answer := range headcase.Sound() {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := read(strings.NewReader(string(raw)))
		if err != nil {
			return
		}
		head := strictHead.FindStringSubmatch(latin1(raw))
		require.NotNil(t, head, "%q", raw)
		require.Equal(t, head[2], statusText(h))
		headers := strictly(head[3])
		requireSameLength(t, head[1], headers, h)
		requireSameHeaders(t, headers, h)
	})
}

func statusText(h *fasthttp.ResponseHeader) string {
	status := h.StatusCode()
	return string([]byte{byte('0' + status/100), byte('0' + status/10%10), byte('0' + status%10)})
}

// requireSameHeaders requires that the library has read the values of all headers but those that it keeps as something else.
func requireSameHeaders(t *testing.T, want map[string][]string, h *fasthttp.ResponseHeader) {
	got := map[string][]string{}
	for k, v := range h.All() {
		name := strings.ToLower(latin1(k))
		got[name] = append(got[name], latin1(v))
	}
	for _, apart := range []string{"connection", "content-length", "transfer-encoding", "trailer", "content-type", "content-encoding", "server", "date", "set-cookie"} {
		delete(want, apart)
		delete(got, apart)
	}
	require.Equal(t, want, got)
}

// requireSameLength requires that the library ends the body where RFC 9112 (6.3) does.
func requireSameLength(t *testing.T, minor string, headers map[string][]string, h *fasthttp.ResponseHeader) {
	switch status := h.StatusCode(); {
	case status < 200 || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		// These have no body.
	case len(headers["transfer-encoding"]) > 0:
		require.Equal(t, "1", minor)
		require.Len(t, headers["transfer-encoding"], 1)
		require.True(t, strings.EqualFold("chunked", headers["transfer-encoding"][0]))
		require.Equal(t, -1, h.ContentLength())
	case len(headers["content-length"]) > 0:
		require.Len(t, headers["content-length"], 1)
		require.Regexp(t, strictSizes, headers["content-length"][0])
		require.GreaterOrEqual(t, h.ContentLength(), 0)
	default:
		require.Equal(t, -2, h.ContentLength())
	}
}
