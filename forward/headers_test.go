package forward

import (
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/platform/fake"
)

// headerRow is a row of the page on headers: a name, the caller's value, and what becomes of it on each way.
type headerRow struct {
	name, value string
	becomes     []string
}

// readHeaderRows returns the rows of the page's table.
func readHeaderRows(t *testing.T) []headerRow {
	page, err := os.ReadFile("../docs/design/headers.md")
	require.NoError(t, err)
	var out []headerRow
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.Trim(strings.TrimSpace(cells[i]), "`")
		}
		out = append(out, headerRow{name: cells[0], value: cells[1], becomes: cells[2:]})
	}
	return out
}

// headerWay is a way that a request takes: a column of the page.
type headerWay struct {
	streams, engine bool
	answer          string
}

// headersThrough sends a request with the headers of all rows and returns those that the server gets. Its caller has a key, and there are requests
// of different urgency.
func headersThrough(t *testing.T, way headerWay, rows []headerRow) http.Header {
	ts := newTestServer(t, "1", writing(way.answer))
	entries := []backend.Entry{{ID: "1", Service: configuredService, Addr: ts.server.Addr(), Domain: "a", Slots: 4, Revision: 1}}
	content, engines := usualContent(nil), (*fakeEngineClient)(nil)
	if way.engine {
		group := chainGroup(ts)
		content, engines, entries = usualContent(group.Service().Engine), newFakeEngineClient(group), entriesOf(group)
	}
	content.Routes[0].Stream = way.streams
	urgent := content.Routes[0]
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", content.Routes[0].Priority-1
	content.Routes = append(content.Routes, urgent)
	lines, id := "", ""
	for _, row := range rows {
		if row.value == headerTestID {
			id = row.value
			continue
		}
		lines += row.name + ": " + row.value + "\r\n"
	}
	c := startConfigured(t, content, engines, entries)
	require.Equal(t, http.StatusOK, readStatus(t, callFrontWith(t, c.front, id, lines)))
	require.Len(t, ts.headersOf(), 1)
	return ts.headersOf()[0]
}

// headerTestID is the id of the request that the page's values make up.
const headerTestID = "r1"

// TestTheHeadersPageTellsWhatServersGet guards against headers that are dropped without being set, or passed on where the system sets them.
func TestTheHeadersPageTellsWhatServersGet(t *testing.T) {
	rows := readHeaderRows(t)
	require.NotEmpty(t, rows)
	for column, way := range []headerWay{
		{answer: fake.PlainAnswer("ok")},
		{answer: fake.StreamAnswer(onlyEvent), streams: true},
		{answer: fake.StreamAnswer(onlyEvent), streams: true, engine: true},
	} {
		got := headersThrough(t, way, rows)
		for _, row := range rows {
			values := got.Values(row.name)
			switch row.becomes[column] {
			case "passed":
				require.Equal(t, []string{row.value}, values, "%s, column %d", row.name, column)
			case "dropped":
				require.Empty(t, values, "%s, column %d", row.name, column)
			case "set":
				require.Len(t, values, 1, "%s, column %d", row.name, column)
				require.NotEqual(t, row.value, values[0], "%s, column %d", row.name, column)
			default:
				require.Fail(t, "unknown word", row.becomes[column])
			}
		}
	}
}
