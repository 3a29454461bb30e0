package strict

import (
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Decode reads a YAML body into out, a pointer to a struct, and checks its validate tags; the error is an *Error.
func Decode(file string, body []byte, out any) error {
	d := &decoder{file: file, lines: map[string]int{}, keys: map[string]string{}, failed: map[string]bool{}}
	tree, err := parser.ParseBytes(body, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return newError([]Problem{d.syntax(err)})
	}
	target := reflect.ValueOf(out).Elem()
	if len(tree.Docs) > 0 && tree.Docs[0].Body != nil {
		d.value(tree.Docs[0].Body, target, location{goPath: target.Type().Name()})
	}
	d.validate(out)
	return newError(d.problems)
}

// location is the path of a value: goPath in field names, as the validator names it, and yamlKey in the keys of the file.
type location struct {
	goPath  string
	yamlKey string
}

func (p location) field(goName, yamlName string) location {
	return location{goPath: p.goPath + "." + goName, yamlKey: strings.TrimPrefix(p.yamlKey+"."+yamlName, ".")}
}

func (p location) index(index string) location {
	return location{goPath: p.goPath + "[" + index + "]", yamlKey: p.yamlKey + "[" + index + "]"}
}

// decoder decodes one file. Its maps are by goPath.
type decoder struct {
	file     string
	problems []Problem
	// lines and keys hold the line and the yamlKey of every value in the file.
	lines map[string]int
	keys  map[string]string
	// failed holds the values that could not be decoded; they are not validated.
	failed map[string]bool
}

func (d *decoder) syntax(err error) Problem {
	line := 1
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		line = syntax.GetToken().Position.Line
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	return Problem{file: d.file, line: line, key: "(file)", message: message}
}

func (d *decoder) add(node ast.Node, at location, message string) {
	d.failed[at.goPath] = true
	d.problems = append(d.problems, Problem{file: d.file, line: lineOf(node), key: at.yamlKey, message: message})
}

func lineOf(node ast.Node) int { return node.GetToken().Position.Line }

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) value(node ast.Node, target reflect.Value, at location) {
	d.lines[at.goPath] = lineOf(node)
	d.keys[at.goPath] = at.yamlKey
	if _, null := node.(*ast.NullNode); null {
		return
	}
	switch {
	case target.Kind() == reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		d.value(node, target.Elem(), at)
	case target.Kind() == reflect.Struct:
		d.structure(node, target, at)
	case target.Kind() == reflect.Slice:
		d.list(node, target, at)
	default:
		d.scalar(node, target, at)
	}
}

func (d *decoder) scalar(node ast.Node, target reflect.Value, at location) {
	if err := yaml.NodeToValue(node, target.Addr().Interface(), yaml.Strict()); err != nil {
		d.add(node, at, "is not "+typeName(target.Type()))
	}
}

func (d *decoder) list(node ast.Node, target reflect.Value, at location) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(node, at, "is not a list")
		return
	}
	out := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, item := range sequence.Values {
		d.value(item, out.Index(i), at.index(itoa(i)))
	}
	target.Set(out)
}

func (d *decoder) structure(node ast.Node, target reflect.Value, at location) {
	entries, ok := mappingOf(node)
	if !ok {
		d.add(node, at, "is not a mapping; accepted keys: "+strings.Join(keysOf(target.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for _, entry := range entries {
		name := entry.Key.GetToken().Value
		field, found := fieldOf(target.Type(), name)
		switch {
		case !found:
			d.add(entry.Key, at.field(name, name), "unknown key; accepted: "+strings.Join(keysOf(target.Type()), ", "))
		case seen[name]:
			d.add(entry.Key, at.field(name, name), "key stands twice")
		default:
			d.value(entry.Value, target.FieldByIndex(field.Index), at.field(field.Name, name))
		}
		seen[name] = true
	}
}

func mappingOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}
