package config

import (
	"embed"
	"fmt"
	"go/ast"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"junctioncross/doccomment"
)

//go:embed instance.go listen.go platform.go keys.go limits.go drain.go log.go settings.go hosted.go
var sources embed.FS

const referenceHead = `# Settings of jxd

Written by ` + "`jxd reference > docs/CONFIGURATION.md`" + ` from the settings' types; a test compares the two. The file is YAML.
Unknown keys, wrong types and values that are not accepted are refused, all at once, each with its line;
` + "`jxd check FILE`" + ` does that without starting.

| key | type | accepted | default | meaning |
|---|---|---|---|---|
`

const hostedHead = `
## Settings of jxd serve

` + "`jxd check --serve FILE`" + ` checks such a file. ` + "`deploy/settings.yaml`" + ` is the template that the platform fills.

| key | type | accepted | default | meaning |
|---|---|---|---|---|
`

// Reference returns the page that describes every setting.
func Reference() (string, error) {
	comments, err := fieldComments()
	if err != nil {
		return "", err
	}
	var out strings.Builder
	out.WriteString(referenceHead)
	writeFields(&out, "", reflect.ValueOf(Default()), comments)
	out.WriteString(hostedHead)
	writeFields(&out, "", reflect.ValueOf(DefaultHosted()), comments)
	return out.String(), nil
}

func writeFields(out *strings.Builder, prefix string, section reflect.Value, comments map[string]string) {
	t := section.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			writeFields(out, key+".", section.Field(i), comments)
			continue
		}
		value := fmt.Sprint(section.Field(i).Interface())
		if section.Field(i).IsZero() {
			value = ""
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s | %s |\n", key, f.Type, f.Tag.Get("validate"), value, comments[t.Name()+"."+f.Name])
	}
}

// fieldComments returns the doc comments of all settings, by type and field.
func fieldComments() (map[string]string, error) {
	out := map[string]string{}
	files, err := doccomment.Files(sources)
	if err != nil {
		return nil, errors.Wrap(err, "config: reference")
	}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool { return collectComments(n, out) })
	}
	return out, nil
}

func collectComments(n ast.Node, out map[string]string) bool {
	spec, ok := n.(*ast.TypeSpec)
	if !ok {
		return true
	}
	fields, ok := spec.Type.(*ast.StructType)
	if !ok {
		return false
	}
	for _, f := range fields.Fields.List {
		for _, name := range f.Names {
			out[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
		}
	}
	return false
}
