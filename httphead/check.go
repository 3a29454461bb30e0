package httphead

import (
	"bytes"
	"fmt"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ErrTooLong means that a head does not fit into the buffer of its reader.
var ErrTooLong = errors.New("httphead: head is too long")

// maxQuoted is how many bytes of a line an error quotes: it is logged.
const maxQuoted = 64

// MalformedError means that a head is not one of HTTP/1.
type MalformedError struct {
	fault string
	// line is the beginning of the line that breaks the head.
	line []byte
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("httphead: %s: %q", e.fault, e.line)
}

// ChunkedLength is what the library returns as the length of a body in chunks; a body that only the end of its connection ends has a lower one.
const ChunkedLength = -1

// lineEnd ends each line of a head. Readers differ on a lone LF, so that none may stand in a head.
var lineEnd = []byte("\r\n")

// checker checks the lines of a head as they come.
type checker struct {
	// checked is the number of bytes of the lines that have been checked.
	checked int
	// chunks is true if the version of the answer has bodies in chunks, as the library reads it.
	chunks bool
}

// check checks the lines that have come since the last call, in all that has come of a head; it reports whether the head is whole.
func (c *checker) check(begun []byte) (whole bool, err error) {
	for {
		rest := begun[c.checked:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			return false, nil
		}
		line, ended := bytes.CutSuffix(rest[:end+1], lineEnd)
		if !ended {
			return false, malformed("line without CRLF", line)
		}
		first := c.checked == 0
		c.checked += end + 1
		if !first && len(line) == 0 {
			return true, nil
		}
		if fault := c.lineFault(line, first); fault != "" {
			return false, malformed(fault, line)
		}
	}
}

// lineFault returns what breaks a line, or an empty string.
func (c *checker) lineFault(line []byte, first bool) string {
	if first {
		c.chunks = bytes.HasPrefix(line, []byte(chunksVersion))
		return statusLineFault(line)
	}
	name, fault := fieldName(line)
	if fault == "" && !c.chunks && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
		return "coding in a version without one"
	}
	return fault
}

// chunksVersion is the only version whose bodies the library reads in chunks. In HTTP/1.0 there are none (RFC 9112, 6.1).
const chunksVersion = "HTTP/1.1"

// malformed copies the beginning of the line, which is part of a buffer.
func malformed(fault string, line []byte) *MalformedError {
	return &MalformedError{fault: fault, line: bytes.Clone(line[:min(len(line), maxQuoted)])}
}
