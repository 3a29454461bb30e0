package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes is the maximum length of a line; a longer one ends Read with an error.
const maxLineBytes = 1 << 20

// Line is one line of an instance's log.
type Line struct {
	at       time.Time
	instance string
	request  string
	message  string
	fields   map[string]any
}

// Request returns the id of the request that the line is about, or an empty text if it is about none.
func (l Line) Request() string { return l.request }

// Instance returns the name of the instance that wrote the line.
func (l Line) Instance() string { return l.instance }

// Message returns the message, which names the decision or belief that the line reports.
func (l Line) Message() string { return l.message }

// Text returns the value of a field as text, or an empty text if the line does not have the field.
func (l Line) Text(field string) string {
	v, ok := l.fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Read returns the lines of a log. Text before the first brace of a line is ignored. Lines that are not JSON objects or have no
// valid time are skipped and counted. An error comes from reading, or means that a line is longer than 1 MiB.
func Read(from io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			skipped++
			continue
		}
		line, err := parse(scanner.Bytes()[start:])
		if err != nil {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "story: read log")
}

func parse(body []byte) (Line, error) {
	fields := map[string]any{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return Line{}, err
	}
	line := Line{fields: fields}
	line.instance, line.request, line.message = line.Text("instance"), line.Text("request"), line.Text("msg")
	at, err := time.Parse(time.RFC3339Nano, line.Text("time"))
	line.at = at
	return line, err
}

// hiddenFields are printed elsewhere in the line, or are irrelevant to the decision.
var hiddenFields = map[string]bool{"time": true, "msg": true, "request": true, "instance": true, "domain": true, "level": true}

// format returns the line in readable form, with its time relative to start.
func (l Line) format(start time.Time) string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !hiddenFields[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var out strings.Builder
	fmt.Fprintf(&out, "%+9.3fs  %-24s %s", l.at.Sub(start).Seconds(), l.instance, l.message)
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%s", name, l.Text(name))
	}
	return out.String()
}

func sorted(lines []Line) []Line {
	out := append([]Line(nil), lines...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	return out
}
