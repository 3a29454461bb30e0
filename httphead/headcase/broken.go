package headcase

import (
	"fmt"
	"slices"
	"strings"
)

// okLine is the status line of a success.
const okLine = "HTTP/1.1 200 OK\r\n"

// Case is an answer in which nothing but the head is broken.
type Case struct {
	name string
	// interim is an interim answer before the answer.
	interim string
	// status is the status line, that of a success if empty.
	status string
	// lines are the headers that break the head. In them {length} stands for the length of the body, {less} for one byte less.
	lines string
	// framing is how the end of the body is marked.
	framing framing
}

type framing int

const (
	byLength framing = iota
	byChunks
	// byLines means that the lines of the case, which are broken, say where the body ends.
	byLines
	// chunksByLines is byLines for a body in chunks.
	chunksByLines
)

// New returns a case whose head has further lines of headers.
func New(name, lines string) Case { return Case{name: name, lines: lines} }

// String returns the name of the case.
func (c Case) String() string { return c.name }

// Answer returns the answer as it is sent, with the headers that its reader needs; its connection is to be closed afterwards.
func (c Case) Answer(headers, body string) string {
	status := c.status
	if status == "" {
		status = okLine
	}
	lines := strings.NewReplacer("{length}", fmt.Sprint(len(body)), "{less}", fmt.Sprint(len(body)-1)).Replace(c.lines)
	head := c.interim + status + headers + lines
	switch c.framing {
	case byChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body)
	case byLines:
		return head + "\r\n" + body
	case chunksByLines:
		return head + "\r\n" + inChunks(body)
	default:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// inChunks returns a body as one chunk and its end.
func inChunks(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// Statuses are answers with a broken status line.
var Statuses = []Case{
	{name: "status 000", status: "HTTP/1.1 000 OK\r\n"},
	{name: "status 000, no reason", status: "HTTP/1.1 000 \r\n"},
	{name: "status 000, no blank", status: "HTTP/1.1 000\r\n"},
	{name: "status 000, chunks", status: "HTTP/1.1 000 OK\r\n", framing: byChunks},
	{name: "status 001", status: "HTTP/1.1 001 OK\r\n"},
	{name: "status 099", status: "HTTP/1.1 099 OK\r\n"},
	{name: "interim status 099", interim: "HTTP/1.1 099 Odd\r\n\r\n"},
	{name: "interim status 000", interim: "HTTP/1.1 000 Odd\r\n\r\n"},
	{name: "two blanks", status: "HTTP/1.1  200 OK\r\n"},
	{name: "reason with NUL", status: "HTTP/1.1 200 O\x00K\r\n"},
	{name: "reason with ESC", status: "HTTP/1.1 200 O\x1bK\r\n"},
	{name: "reason with DEL", status: "HTTP/1.1 200 O\x7fK\r\n"},
	{name: "reason with CR", status: "HTTP/1.1 200 O\rK\r\n"},
	{name: "HTTP/0.9", status: "HTTP/0.9 200 OK\r\n"},
	{name: "HTTP/2.0", status: "HTTP/2.0 200 OK\r\n"},
	{name: "HTTP/9.9", status: "HTTP/9.9 200 OK\r\n"},
	{name: "blank line first", status: "\r\nHTTP/1.1 200 OK\r\n"},
	{name: "LF first", status: "\nHTTP/1.1 200 OK\r\n"},
	{name: "status line ends with LF", status: "HTTP/1.1 200 OK\n"},
}

// LineEnds are answers with a line that ends with a lone LF, or two in a row, where only some readers see the end of the head.
var LineEnds = []Case{
	{name: "line that begins with LF", lines: "\nX-A: 1\r\n"},
	{name: "line that ends with LF", lines: "X-A: 1\n"},
	{name: "LF at the end of the head", lines: "Content-Length: {length}\r\n\n", framing: byLines},
	{name: "all lines end with LF", lines: "Content-Length: {length}\n\n", status: "HTTP/1.1 200 OK\n", framing: byLines},
}

// Names are answers with a line whose name is none.
var Names = []Case{
	{name: "blank in a name", lines: "X A: 1\r\n"},
	{name: "blank in a name, chunks", lines: "X A: 1\r\n", framing: byChunks},
	{name: "control byte in a name", lines: "X\x01A: 1\r\n"},
	{name: "TAB in a name", lines: "X\tA: 1\r\n"},
	{name: "CR in a name", lines: "X\rA: 1\r\n"},
	{name: "blank in the name of the coding", lines: "Transfer Encoding: chunked\r\n", framing: chunksByLines},
	{name: "blank in the name of the length", lines: "Content Length: {length}\r\n", framing: byLines},
	{name: "blank before the colon", lines: "X-A : 1\r\n"},
	{name: "TAB before the colon", lines: "X-A\t: 1\r\n"},
	{name: "blank before the colon of the length", lines: "Content-Length : {length}\r\n", framing: byLines},
	{name: "blank before the colon of a wrong length", lines: "Content-Length : {less}\r\n", framing: byLines},
	{name: "blank before the colon of the coding", lines: "Transfer-Encoding : chunked\r\n", framing: chunksByLines},
	{name: "empty name", lines: ": 1\r\n"},
	{name: "no colon", lines: "X-A\r\n"},
	{name: "fold by a blank", lines: "X-A: 1\r\n 2\r\n"},
	{name: "fold by a TAB", lines: "X-A: 1\r\n\t2\r\n"},
	{name: "fold by blanks alone", lines: "X-A: 1\r\n  \r\n"},
	{name: "fold of the status line", status: "HTTP/1.1 200 OK\r\n x\r\n"},
	{name: "fold of the length", lines: "Content-Length: {length}\r\n \r\n", framing: byLines},
	{name: "fold of the coding", lines: "Transfer-Encoding: chunked\r\n x\r\n", framing: chunksByLines},
	{name: "interim answer with a blank in a name", interim: "HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\n"},
}

// Values are answers with a control byte in the value of a header.
var Values = []Case{
	{name: "NUL in a value", lines: "X-A: 1\x002\r\n"},
	{name: "CR in a value", lines: "X-A: 1\r2\r\n"},
	{name: "CR at the end of a value", lines: "X-A: 1\r\r\n"},
	{name: "ESC in a value", lines: "X-A: \x1b\r\n"},
	{name: "DEL in a value", lines: "X-A: \x7f\r\n"},
	{name: "control byte in a cookie", lines: "Set-Cookie: a=\x01\r\n"},
	{name: "CR after the length", lines: "Content-Length: {length}\r\r\n", framing: byLines},
}

// Framings are answers whose head marks the end of the body in a way that readers understand differently.
var Framings = []Case{
	{name: "chunks in HTTP/1.0", status: "HTTP/1.0 200 OK\r\n", framing: byChunks},
	{name: "chunks in HTTP/1.0, kept alive", status: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", framing: byChunks},
	{name: "chunks in HTTP/1.2", status: "HTTP/1.2 200 OK\r\n", framing: byChunks},
	{name: "two lengths", lines: "Content-Length: {less}\r\nContent-Length: {length}\r\n", framing: byLines},
	{name: "two lengths in one line", lines: "Content-Length: {length}, {length}\r\n", framing: byLines},
	{name: "length with a sign", lines: "Content-Length: +{length}\r\n", framing: byLines},
	{name: "length with a unit", lines: "Content-Length: {length}B\r\n", framing: byLines},
	{name: "empty length", lines: "Content-Length: \r\n", framing: byLines},
	{name: "length without end", lines: "Content-Length: 99999999999999999999999\r\n", framing: byLines},
	{name: "length beside a wrong one and chunks", lines: "Content-Length: x\r\nTransfer-Encoding: chunked\r\n", framing: chunksByLines},
	{name: "other coding", lines: "Transfer-Encoding: gzip\r\n", framing: byLines},
	{name: "coding before chunks", lines: "Transfer-Encoding: gzip, chunked\r\n", framing: chunksByLines},
	{name: "coding identity", lines: "Transfer-Encoding: identity\r\nContent-Length: {length}\r\n", framing: byLines},
	{name: "two codings", lines: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", framing: chunksByLines},
}

// Broken returns all cases.
func Broken() []Case {
	return slices.Concat(Statuses, LineEnds, Names, Values, Framings)
}

// BrokenChunks returns answers whose heads are sound and whose bodies are broken chunks of a body of four bytes or more, with the headers that their
// reader needs.
func BrokenChunks(headers, body string) map[string]string {
	size := fmt.Sprintf("%x", len(body))
	out := map[string]string{}
	for name, chunks := range map[string]string{
		"size ends with LF":        size + "\n" + body + "\r\n0\r\n\r\n",
		"data ends with LF":        size + "\r\n" + body + "\n0\r\n\r\n",
		"data without an end":      size + "\r\n" + body + "0\r\n\r\n",
		"size with a sign":         "+" + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"size below none":          "-" + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"size with a prefix":       "0x" + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"blank before the size":    " " + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"two sizes":                size + " " + size + "\r\n" + body + "\r\n0\r\n\r\n",
		"no size":                  "\r\n" + body + "\r\n0\r\n\r\n",
		"letters as the size":      "xyz\r\n" + body + "\r\n0\r\n\r\n",
		"NUL in the size":          size + "\x00\r\n" + body + "\r\n0\r\n\r\n",
		"size above all":           "ffffffffffffffffff\r\n" + body + "\r\n0\r\n\r\n",
		"size too small":           "1\r\n" + body + "\r\n0\r\n\r\n",
		"size too large":           fmt.Sprintf("%x", len(body)+1) + "\r\n" + body + "\r\n0\r\n\r\n",
		"no last chunk":            size + "\r\n" + body + "\r\n",
		"last chunk without end":   size + "\r\n" + body + "\r\n0",
		"last chunk ends with LF":  size + "\r\n" + body + "\r\n0\n\r\n",
		"no blank line at the end": size + "\r\n" + body + "\r\n0\r\n",
	} {
		out[name] = okLine + headers + "Transfer-Encoding: chunked\r\n\r\n" + chunks
	}
	return out
}
