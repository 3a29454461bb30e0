package decision

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Formatter writes the same JSON as logrus.JSONFormatter at a fraction of the cost: most values are texts and numbers, which need
// no reflection.
type Formatter struct{}

// typicalFields is a capacity that suffices for the fields of most lines.
const typicalFields = 32

// Format implements logrus.Formatter.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	out := e.Buffer
	if out == nil {
		out = &bytes.Buffer{}
	}
	names := make([]string, 0, typicalFields)
	for name := range e.Data {
		names = append(names, name)
	}
	slices.Sort(names)
	line := append(out.AvailableBuffer(), '{')
	for _, name := range names {
		line = append(appendText(line, name), ':')
		line = append(appendValue(line, e.Data[name]), ',')
	}
	line = append(line, `"level":"`+e.Level.String()+`","msg":`...)
	line = append(appendText(line, e.Message), `,"time":"`...)
	line = e.Time.AppendFormat(line, time.RFC3339Nano)
	out.Write(append(line, "\"}\n"...))
	return out.Bytes(), nil
}

func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case error:
		return appendText(line, v.Error())
	}
	body, err := json.Marshal(value)
	if err != nil {
		// JSON has no NaN and no infinities; such a value is written as text rather than losing the line.
		return appendText(line, fmt.Sprint(value))
	}
	return append(line, body...)
}

// appendText appends a text as a JSON string.
func appendText(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			body, _ := json.Marshal(text)
			return append(line, body...)
		}
	}
	return append(append(append(line, '"'), text...), '"')
}
