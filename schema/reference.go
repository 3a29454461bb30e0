package schema

import (
	"embed"
	"fmt"
	"go/ast"
	"go/token"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"junctioncross/doccomment"
)

//go:embed admission.go common.go attempts.go repairs.go requests.go runrequests.go beliefs.go servers.go reach.go orders.go
var sources embed.FS

const head = `# Lines of the log

Written by ` + "`jxd lines > docs/LOG.md`" + ` from the types of package schema; a test compares the two. An instance prints one JSON object a
line: ` + "`jxd serve`" + ` to standard output, ` + "`jxd run`" + ` to standard error. Fields that may be missing are marked "maybe". The names of
quantities end in their unit. Lines with the same ` + "`msg`" + ` differ in their fields. How to follow a request through the log:
docs/OPERATIONS.md.

`

// Reference returns the page that describes every line.
func Reference() (string, error) {
	comments, err := typeComments()
	if err != nil {
		return "", err
	}
	var out strings.Builder
	out.WriteString(head + "## In every line\n\n")
	writeFields(&out, fieldsOf(reflect.TypeFor[commonFields]()), comments)
	for _, part := range []struct {
		title string
		lines []any
	}{{"Requests", requestLines}, {"Beliefs", beliefLines}, {"Orders", orderLines}} {
		out.WriteString("\n## " + part.title + "\n")
		for _, l := range linesOf(part.lines) {
			fmt.Fprintf(&out, "\n### %s\n\n%s Level %s.\n", l.Message, comments[l.typeName], l.Level)
			if len(l.Fields) > 0 {
				out.WriteString("\n")
				writeFields(&out, l.Fields, comments)
			}
		}
	}
	return out.String(), nil
}

func writeFields(out *strings.Builder, fields []Field, comments map[string]string) {
	out.WriteString("| field | kind | | meaning |\n|---|---|---|---|\n")
	for _, f := range fields {
		maybe := ""
		if f.Optional {
			maybe = "maybe"
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", f.Name, f.Kind, maybe, comments[f.typeName+"."+f.goName])
	}
}

// typeComments returns the doc comments of all types, by name, and of their fields, by Type.Field.
func typeComments() (map[string]string, error) {
	out := map[string]string{}
	files, err := doccomment.Files(sources)
	if err != nil {
		return nil, errors.Wrap(err, "schema: reference")
	}
	for _, file := range files {
		for _, d := range file.Decls {
			collect(d, out)
		}
	}
	return out, nil
}

func collect(d ast.Decl, out map[string]string) {
	types, ok := d.(*ast.GenDecl)
	if !ok || types.Tok != token.TYPE {
		return
	}
	for _, s := range types.Specs {
		spec := s.(*ast.TypeSpec)
		out[spec.Name.Name] = joinedText(types.Doc)
		fields, ok := spec.Type.(*ast.StructType)
		if !ok {
			continue
		}
		for _, f := range fields.Fields.List {
			for _, name := range f.Names {
				out[spec.Name.Name+"."+name.Name] = joinedText(f.Doc)
			}
		}
	}
}

func joinedText(comment *ast.CommentGroup) string {
	return strings.Join(strings.Fields(comment.Text()), " ")
}
