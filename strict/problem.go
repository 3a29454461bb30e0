package strict

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	file    string
	line    int
	key     string
	message string
}

// Line returns the line number, counted from one; for a missing key, that of the nearest enclosing value.
func (p Problem) Line() int { return p.line }

// Key returns the path of the key, such as parts[1].kind.
func (p Problem) Key() string { return p.key }

// String returns the mistake with its file, line and key.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.key, p.message)
}

// Error holds every mistake of one file.
type Error struct {
	problems []Problem
}

// Problems returns the mistakes, sorted by line.
func (e *Error) Problems() []Problem { return e.problems }

// Error returns a line of text for each mistake.
func (e *Error) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func newError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].line < problems[j].line })
	return &Error{problems: problems}
}
