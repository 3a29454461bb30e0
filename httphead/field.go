package httphead

import "bytes"

// fieldName returns the name of the header on a line, and what breaks the line, or an empty string.
func fieldName(line []byte) (name []byte, fault string) {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !IsToken(name):
		return nil, "bad name"
	case !isText(value):
		return nil, "control byte in a value"
	}
	return name, ""
}

// IsToken reports whether the bytes are a token, as each name is. A line that continues the one before begins with a blank, and so with no name.
func IsToken(name []byte) bool {
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
