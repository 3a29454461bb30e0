package doccomment_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// figures matches what tells of runs: shares of what was seen, and where it was seen. Such figures belong in commit messages and pages.
var figures = regexp.MustCompile(`(?i)\b\d[\d,.]* of (the )?\d|\b\d+ in 100\b|\b\d{1,3},\d{3} (calls|requests|questions|times)\b|\bon record\b|` +
	`\bin plays\b|\bissue #?\d|\bincident\b`)

// allowed are comments that match and tell of no run, by file.
var allowed = map[string]string{
	"../control/limits.go": "95 in 100 is the aim itself",
}

// TestCommentsTellNoFiguresOfRuns reads the comments of all files of the program.
func TestCommentsTellNoFiguresOfRuns(t *testing.T) {
	used := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); name != ".." && (strings.HasPrefix(name, ".") || name == "target") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, group := range file.Comments {
			// A figure may stand on two lines.
			found := figures.FindString(strings.ReplaceAll(group.Text(), "\n", " "))
			if _, ok := allowed[path]; found != "" && ok {
				used[path] = true
			} else if found != "" {
				t.Errorf("%s tells of a run: %q", files.Position(group.Pos()), found)
			}
		}
		return nil
	})
	require.NoError(t, err)
	require.Len(t, used, len(allowed), "an exception that nothing needs")
}
