package strict

import (
	"net/netip"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

var checker = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	mustRegister(v, "ipport", isAddrPort)
	return v
})

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

func isAddrPort(level validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(level.Field().String())
	return err == nil
}

// validate checks the validate tags and adds a problem for each value that is not accepted.
func (d *decoder) validate(out any) {
	err := checker().Struct(out)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return
	}
	for _, f := range fields {
		path := f.StructNamespace()
		if d.failed[path] {
			continue
		}
		line, key := d.locate(path, reflect.TypeOf(out).Elem())
		d.problems = append(d.problems, Problem{file: d.file, line: line, key: key, message: problemMessage(f)})
	}
}

// locate returns the line and the key of a Go path. If the path is missing from the file, the line is that of the nearest
// enclosing value.
func (d *decoder) locate(path string, root reflect.Type) (line int, key string) {
	key = yamlPath(path, root)
	for at := path; at != ""; {
		if n, ok := d.lines[at]; ok {
			return n, key
		}
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	return 1, key
}

// yamlPath converts a path of Go field names into the keys of the file.
func yamlPath(path string, t reflect.Type) string {
	parts := strings.Split(path, ".")[1:]
	for i, part := range parts {
		name, index, indexed := strings.Cut(part, "[")
		f, ok := t.FieldByName(name)
		if !ok {
			return strings.Join(parts, ".")
		}
		parts[i] = yamlName(f)
		t = f.Type
		if indexed {
			parts[i] += "[" + index
			t = t.Elem()
		}
		if t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
	}
	return strings.Join(parts, ".")
}

func problemMessage(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_with", "required_if":
		return "is missing"
	case "oneof":
		return "accepted: one of " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "min", "gte":
		return "accepted: at least " + f.Param()
	case "max", "lte":
		return "accepted: at most " + f.Param()
	case "gt":
		return "accepted: more than " + f.Param()
	case "ipport":
		return "accepted: an IP number and port such as 127.0.0.1:8080"
	case "unique":
		return "accepted: each name once"
	default:
		return "accepted: " + f.Tag() + " " + f.Param()
	}
}
