package httphead

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrTooLong means that a head does not fit into the buffer of its reader.
var ErrTooLong = errors.New("httphead: head is too long")

// MalformedError means that a head is not one of HTTP/1.
type MalformedError struct {
	fault string
	line  []byte
}

// Error implements error.
func (e *MalformedError) Error() string {
	return errors.Errorf("httphead: %s: %q", e.fault, e.line).Error()
}

// lineEnd ends each line of a head. Readers differ on a lone LF, so that none may stand in a head.
var lineEnd = []byte("\r\n")

// checker checks the lines of a head as they come.
type checker struct {
	// checked is the number of bytes of the lines that have been checked.
	checked int
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
		first := c.checked == 0
		c.checked += end + 1
		switch {
		case !ended:
			return false, malformed("line without CRLF", line)
		case first:
			if fault := statusLineFault(line); fault != "" {
				return false, malformed(fault, line)
			}
		case len(line) == 0:
			return true, nil
		default:
			if fault := fieldLineFault(line); fault != "" {
				return false, malformed(fault, line)
			}
		}
	}
}

// malformed copies the line, which is part of a buffer.
func malformed(fault string, line []byte) *MalformedError {
	return &MalformedError{fault: fault, line: bytes.Clone(line)}
}
