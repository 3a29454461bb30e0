package doccomment

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"

	"github.com/pkg/errors"
)

// Files parses all files at the root of a file system as Go source with comments, in the order of their names. It returns the
// first error of reading or parsing a file.
func Files(sources fs.FS) ([]*ast.File, error) {
	entries, err := fs.ReadDir(sources, ".")
	if err != nil {
		return nil, errors.Wrap(err, "doccomment: list")
	}
	files := make([]*ast.File, 0, len(entries))
	for _, e := range entries {
		body, err := fs.ReadFile(sources, e.Name())
		if err != nil {
			return nil, errors.Wrap(err, "doccomment: read")
		}
		file, err := parser.ParseFile(token.NewFileSet(), e.Name(), body, parser.ParseComments)
		if err != nil {
			return nil, errors.Wrap(err, "doccomment: parse")
		}
		files = append(files, file)
	}
	return files, nil
}
