package httphead

import "bytes"

// versionPrefix begins the status line of each version that a server may answer a request of HTTP/1.1 with.
const versionPrefix = "HTTP/1."

// statusLength is the number of digits of a status.
const statusLength = 3

// statusLineFault returns what breaks a status line, or an empty string. The blank before an empty reason may be missing.
func statusLineFault(line []byte) string {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	if !ok || len(rest) == 0 || !isDigit(rest[0]) {
		return "not HTTP/1"
	}
	rest, ok = bytes.CutPrefix(rest[1:], []byte(" "))
	if !ok || !isStatus(rest) {
		return "no status"
	}
	reason := rest[statusLength:]
	if len(reason) > 0 && (reason[0] != ' ' || !isText(reason)) {
		return "bad reason"
	}
	return ""
}

// isStatus reports whether a line begins with a status. Those above 599 have no meaning of their own, and callers take them for failures.
func isStatus(line []byte) bool {
	return len(line) >= statusLength && line[0] >= '1' && isDigit(line[0]) && isDigit(line[1]) && isDigit(line[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether all bytes may stand in a reason or in the value of a header: none is a control byte but TAB.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

// del is the control byte above the printable ones of ASCII.
const del = 0x7f
