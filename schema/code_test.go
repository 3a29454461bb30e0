package schema_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/schema"
)

const module = "junctioncross/"

// loggerLevels and recorderLevels map the method that writes a line to its level. Methods of a logger take one argument, those of
// the recorder three.
var (
	loggerLevels   = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warning", "Error": "error"}
	recorderLevels = map[string]string{"Routine": "info", "Failure": "warning", "Last": "warning"}
)

// logCall is a call that writes a line, with one message that it may have.
type logCall struct {
	at      string
	message string
	level   string
	fields  []string
}

// sourcePackage holds the parsed functions of one package of the program.
type sourcePackage struct {
	t     *testing.T
	files *token.FileSet
	funcs []*ast.FuncDecl
}

// packagesOf adds a package and all packages of this module that it imports, directly or not, to seen.
func packagesOf(t *testing.T, dir string, seen map[string]bool) {
	if seen[dir] {
		return
	}
	seen[dir] = true
	for _, f := range filesOf(t, token.NewFileSet(), dir) {
		for _, i := range f.Imports {
			path, err := strconv.Unquote(i.Path.Value)
			require.NoError(t, err)
			if inner, ok := strings.CutPrefix(path, module); ok {
				packagesOf(t, inner, seen)
			}
		}
	}
}

func filesOf(t *testing.T, set *token.FileSet, dir string) []*ast.File {
	names, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
	require.NoError(t, err)
	require.NotEmpty(t, names, dir)
	var out []*ast.File
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(set, name, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		out = append(out, f)
	}
	return out
}

// linesOf returns the calls of a package that write lines.
func linesOf(t *testing.T, dir string) []logCall {
	s := &sourcePackage{t: t, files: token.NewFileSet()}
	for _, f := range filesOf(t, s.files, dir) {
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && fn.Body != nil {
				s.funcs = append(s.funcs, fn)
			}
		}
	}
	var out []logCall
	for _, fn := range s.funcs {
		ast.Inspect(fn, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				out = append(out, s.logCalls(fn, call)...)
			}
			return true
		})
	}
	return out
}

// logCalls returns a call that writes a line, once for each message that it may have, and nothing for any other call.
func (s *sourcePackage) logCalls(fn *ast.FuncDecl, call *ast.CallExpr) []logCall {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	level, message := loggerLevels[selector.Sel.Name], 0
	if recorder := recorderLevels[selector.Sel.Name]; recorder != "" && len(call.Args) == 3 {
		level, message = recorder, 1
	} else if level == "" || len(call.Args) != 1 {
		return nil
	}
	at := s.files.Position(call.Pos()).String()
	fields := s.fields(fn, call)
	var out []logCall
	for _, m := range s.possibleTexts(fn, call.Args[message]) {
		out = append(out, logCall{at: at, message: m, level: level, fields: fields})
	}
	require.NotEmpty(s.t, out, "%s: the message must be a string literal, or a parameter for which callers pass literals", at)
	return out
}

// possibleTexts returns the values that an expression may have: a string literal, a concatenation, or a parameter of the
// function.
func (s *sourcePackage) possibleTexts(fn *ast.FuncDecl, e ast.Expr) []string {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		require.NoError(s.t, err)
		return []string{text}
	case *ast.BinaryExpr:
		var out []string
		for _, left := range s.possibleTexts(fn, e.X) {
			for _, right := range s.possibleTexts(fn, e.Y) {
				out = append(out, left+right)
			}
		}
		return out
	case *ast.Ident:
		return s.argumentTexts(fn, e.Name)
	default:
		return nil
	}
}

// argumentTexts returns the texts that callers in the package pass for a parameter of a function.
func (s *sourcePackage) argumentTexts(fn *ast.FuncDecl, parameter string) []string {
	index, n := -1, 0
	for _, p := range fn.Type.Params.List {
		for _, name := range p.Names {
			if name.Name == parameter {
				index = n
			}
			n++
		}
	}
	if index < 0 {
		return nil
	}
	var out []string
	for _, caller := range s.funcs {
		ast.Inspect(caller, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok && nameOf(call.Fun) == fn.Name.Name && len(call.Args) > index {
				texts := s.possibleTexts(caller, call.Args[index])
				require.NotEmpty(s.t, texts, s.files.Position(call.Pos()))
				out = append(out, texts...)
			}
			return true
		})
	}
	return out
}

func nameOf(fn ast.Expr) string {
	switch fn := fn.(type) {
	case *ast.Ident:
		return fn.Name
	case *ast.SelectorExpr:
		return fn.Sel.Name
	default:
		return ""
	}
}

// fields returns the names of the fields that a call writes, as far as they are literals in the call or in the initial value of a
// variable that it uses.
func (s *sourcePackage) fields(fn *ast.FuncDecl, call *ast.CallExpr) []string {
	var out []string
	ast.Inspect(call, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CompositeLit:
			out = append(out, keysOf(n)...)
		case *ast.CallExpr:
			switch nameOf(n.Fun) {
			case "WithField":
				out = append(out, s.possibleTexts(fn, n.Args[0])...)
			case "WithError":
				out = append(out, "error")
			}
		case *ast.Ident:
			out = append(out, initialFields(fn, n.Name)...)
		}
		return true
	})
	return out
}

func keysOf(literal *ast.CompositeLit) []string {
	if nameOf(literal.Type) != "Fields" {
		return nil
	}
	var out []string
	for _, e := range literal.Elts {
		if key, ok := e.(*ast.KeyValueExpr).Key.(*ast.BasicLit); ok {
			text, _ := strconv.Unquote(key.Value)
			out = append(out, text)
		}
	}
	return out
}

// initialFields returns the names of the fields in the value that a variable of a function is initialized with.
func initialFields(fn *ast.FuncDecl, variable string) []string {
	var out []string
	ast.Inspect(fn, func(n ast.Node) bool {
		a, ok := n.(*ast.AssignStmt)
		if !ok || a.Tok != token.DEFINE || nameOf(a.Lhs[0]) != variable {
			return true
		}
		ast.Inspect(a.Rhs[0], func(n ast.Node) bool {
			if literal, ok := n.(*ast.CompositeLit); ok {
				out = append(out, keysOf(literal)...)
			}
			return true
		})
		return true
	})
	return out
}

// inSchema reports whether a line of the schema has the message, the level and all of the fields of a call.
func inSchema(w logCall) bool {
	return slices.ContainsFunc(schema.LinesByMessage(w.message), func(l schema.Line) bool {
		return l.Level == w.level && !slices.ContainsFunc(w.fields, func(name string) bool {
			_, ok := l.Field(name)
			return !ok
		})
	})
}

func TestCodeAndSchemaHaveTheSameLines(t *testing.T) {
	packages := map[string]bool{}
	packagesOf(t, "cmd/jxd", packages)
	seen := map[string]bool{}
	for dir := range packages {
		// The recorder only passes on the lines of its callers.
		if dir == "decision" {
			continue
		}
		for _, w := range linesOf(t, dir) {
			seen[w.message] = true
			require.True(t, inSchema(w), "%s: %q at level %s with the fields %v is not in the schema", w.at, w.message, w.level, w.fields)
		}
	}
	require.Greater(t, len(seen), 50, "the search has missed calls that write lines")
	for _, l := range schema.Lines() {
		require.True(t, seen[l.Message], "no code writes %q", l.Message)
	}
}

func TestReferencePageIsUpToDate(t *testing.T) {
	want, err := schema.Reference()
	require.NoError(t, err)
	got, err := os.ReadFile("../docs/LOG.md")
	require.NoError(t, err)
	require.Equal(t, want, string(got), "run jxd lines > docs/LOG.md")
	for _, l := range schema.Lines() {
		require.NotContains(t, string(got), "|  |\n", "each field has a description")
		require.NotContains(t, string(got), "\n Level", "each line has a description")
		require.Contains(t, string(got), "### "+l.Message+"\n")
	}
}
