package schema

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownMessage means that no line of the schema has the message.
var ErrUnknownMessage = errors.New("schema: unknown line")

// Check returns an error that says why a printed line does not conform to the schema; it wraps ErrUnknownMessage if no line has
// its message.
func Check(printed []byte) error {
	values := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(printed))
	decoder.UseNumber()
	if err := decoder.Decode(&values); err != nil {
		return errors.Wrap(err, "schema: line is not a JSON object")
	}
	message, _ := values["msg"].(string)
	known := LinesByMessage(message)
	if len(known) == 0 {
		return errors.Wrap(ErrUnknownMessage, message)
	}
	var problems []string
	for _, l := range known {
		err := l.check(values)
		if err == nil {
			return nil
		}
		problems = append(problems, err.Error())
	}
	return errors.Errorf("schema: line %q: %s", message, strings.Join(problems, "; or "))
}

func (l Line) check(values map[string]any) error {
	if values["level"] != l.Level {
		return errors.Errorf("level %v instead of %s", values["level"], l.Level)
	}
	fields := append(fieldsOf(reflect.TypeFor[commonFields]()), l.Fields...)
	known := make(map[string]bool, len(fields))
	for _, f := range fields {
		known[f.Name] = true
		value, present := values[f.Name]
		if !present && !f.Optional {
			return errors.Errorf("field %s is missing", f.Name)
		}
		if present && !f.Kind.fits(value) {
			return errors.Errorf("field %s is not of kind %s: %v", f.Name, f.Kind, value)
		}
	}
	for name := range values {
		if !known[name] {
			return errors.Errorf("field %s is not in the schema", name)
		}
	}
	return nil
}

// fits reports whether a value decoded from JSON is of the kind.
func (k Kind) fits(value any) bool {
	switch v := value.(type) {
	case bool:
		return k == KindBoolean
	case json.Number:
		_, err := v.Int64()
		return k == KindNumber || k == KindInteger && err == nil
	case string:
		if k == KindTime {
			_, err := time.Parse(time.RFC3339Nano, v)
			return err == nil
		}
		return k == KindText
	default:
		return false
	}
}
