package strict

import (
	"reflect"
	"strconv"
	"strings"
)

func itoa(i int) string { return strconv.Itoa(i) }

// yamlName returns the key of a field: that of its yaml tag or, without one, its name in lower case.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "" {
		return strings.ToLower(f.Name)
	}
	return name
}

// isKey reports whether the field is decoded from the file.
func isKey(f reflect.StructField) bool { return f.IsExported() && f.Tag.Get("yaml") != "-" }

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		if isKey(f) && yamlName(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func keysOf(t reflect.Type) []string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if f := t.Field(i); isKey(f) {
			keys = append(keys, yamlName(f))
		}
	}
	return keys
}

// typeName describes the values that a type accepts, for messages.
func typeName(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 250ms or 2s"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "a whole number"
	case reflect.Uint, reflect.Uint64, reflect.Uint32:
		return "a whole number from 0"
	case reflect.Float64:
		return "a number"
	default:
		return "a text"
	}
}
