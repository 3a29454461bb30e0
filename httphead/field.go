package httphead

import "bytes"

// fieldLineFault returns what breaks the line of a header, or an empty string.
func fieldLineFault(line []byte) string {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return "bad name"
	}
	return ""
}

// isToken reports whether the bytes are a token, as each name is. A line that continues the one before begins with a blank, and so with no name.
func isToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

// tokenBytes are the bytes that may stand in a token.
var tokenBytes = tokenTable()

func tokenTable() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return table
}
