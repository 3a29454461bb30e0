package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAPartialEventIsDroppedWhenAnotherServerResumes(t *testing.T) {
	e := events{last: -1}
	out, err := e.feed([]byte("id: 0\ndata: a\n\nid: 1\ndata: b"))
	require.NoError(t, err)
	require.Equal(t, "id: 0\ndata: a\n\n", string(out))
	e.beginRun()
	out, err = e.feed([]byte("id: 1\ndata: bcd\n\n"))
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: bcd\n\n", string(out))
	require.Equal(t, "1", e.resumeAfter())
}

// TestEventsAreWholeHoweverTheStreamIsSplit splits a stream into reads of any length, breaks it off anywhere, and resumes it
// with a server that begins at any event that was sent already or at the next one.
func TestEventsAreWholeHoweverTheStreamIsSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []string
		for i := range rapid.IntRange(1, 12).Draw(t, "events") {
			data := rapid.StringMatching(`[a-z]{0,9}`).Draw(t, "data")
			all = append(all, "id: "+itoa(i)+"\ndata: "+data+"\n\n")
		}
		e := events{last: -1}
		got := ""
		for e.last < int64(len(all)-1) {
			e.beginRun()
			from := rapid.Int64Range(max(e.last, 0), e.last+1).Draw(t, "from")
			stream := ""
			for _, event := range all[from:] {
				stream += event
			}
			stop := rapid.IntRange(0, len(stream)).Draw(t, "stop")
			for at := 0; at < stop; {
				n := rapid.IntRange(1, stop-at).Draw(t, "read")
				out, err := e.feed([]byte(stream[at : at+n]))
				require.NoError(t, err)
				got += string(out)
				at += n
			}
		}
		want := ""
		for _, event := range all {
			want += event
		}
		require.Equal(t, want, got)
	})
}

func itoa(i int) string { return string(rune('0'+i/10)) + string(rune('0'+i%10)) }

func TestMalformedEventsAreRejected(t *testing.T) {
	for _, bad := range []string{"data: x\n\n", "id: x\n\n", "id:\n\n"} {
		e := events{last: -1}
		_, err := e.feed([]byte(bad))
		require.ErrorIs(t, err, errBadEvent, bad)
	}
}

// TestAnEventAfterLaterOnesIsNoticed guards against a piece that is dropped as one which the caller has.
func TestAnEventAfterLaterOnesIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		reads []string
		want  error
	}{
		"in one read":             {[]string{"id: 0\n\nid: 2\n\nid: 1\n\n"}, errBadEvent},
		"in another read":         {[]string{"id: 0\n\nid: 2\n\n", "id: 1\n\n"}, errMissedEvent},
		"the same event again":    {[]string{"id: 0\n\nid: 1\n\n", "id: 1\n\n", "id: 0\n\nid: 2\n\n"}, nil},
		"ids that leave out some": {[]string{"id: 10\n\nid: 20\n\n", "id: 20\n\n", "id: 30\n\n"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := events{last: -1}, error(nil)
			for _, read := range c.reads {
				if _, err = e.feed([]byte(read)); err != nil {
					break
				}
			}
			require.ErrorIs(t, err, c.want)
		})
	}
}
