package httphead_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// checkedReaders are the packages whose code reads heads, or makes clients that do, and sees to it that package httphead checks them.
var checkedReaders = map[string]bool{"httphead": true, "once": true}

// testPrograms are the packages that only tests, benches and demonstrations run.
var testPrograms = []string{"fleet", "load", "platform/fake", "review", "standin"}

// readerNames are what reads answers or makes something that does, by package.
var readerNames = map[string][]string{
	"fasthttp": {
		"Client", "HostClient", "LBClient", "PipelineClient", "Do", "DoTimeout", "DoDeadline", "DoRedirects", "Get", "GetTimeout", "GetDeadline", "Post",
	},
	"http": {"Client", "Transport", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm", "ReadResponse"},
}

// TestAllThatReadsAnswersChecksTheirHeads guards against a new client whose answers are mended by a library: what makes clients or reads heads must
// use package once or httphead. Types in declarations count only where they are made.
func TestAllThatReadsAnswersChecksTheirHeads(t *testing.T) {
	var found []string
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		dir := strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "../")
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || checkedReaders[dir] || isTestProgram(dir) {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, name := range readersIn(file) {
			found = append(found, path+": "+name)
		}
		return nil
	})
	require.NoError(t, err)
	require.Empty(t, found, "readers of answers without httphead")
}

func isTestProgram(dir string) bool {
	for _, program := range testPrograms {
		if dir == program || strings.HasPrefix(dir, program+"/") {
			return true
		}
	}
	return false
}

// readersIn returns the names of what reads answers, or is made to, in a file.
func readersIn(file *ast.File) []string {
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		used := ast.Node(nil)
		switch made := n.(type) {
		case *ast.CallExpr:
			used = made.Fun
		case *ast.CompositeLit:
			used = made.Type
		case *ast.AssignStmt:
			for _, value := range made.Rhs {
				out = append(out, readerName(value)...)
			}
		}
		out = append(out, readerName(used)...)
		return true
	})
	return out
}

// readerName returns the name of an expression if it reads answers or is made to.
func readerName(n ast.Node) []string {
	selector, ok := n.(*ast.SelectorExpr)
	if !ok {
		return nil
	}
	from, ok := selector.X.(*ast.Ident)
	if !ok {
		return nil
	}
	for _, name := range readerNames[from.Name] {
		if selector.Sel.Name == name {
			return []string{from.Name + "." + name}
		}
	}
	return nil
}
