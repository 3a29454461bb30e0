package story_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/story"
)

const log = `  12.5000 east-1 {"instance":"east-1","msg":"sent","request":"r1","path":"s1[0,4) s2[4,8)","server":"s1","time":"2026-01-01T00:00:01Z","attempt":1}
{"instance":"east-1","msg":"server does not answer","server":"s2","request":"","time":"2026-01-01T00:00:02Z"}
{"instance":"east-1","msg":"not repaired","request":"r1","error":"no room","time":"2026-01-01T00:00:02.05Z"}
{"instance":"east-1","msg":"repaired","request":"r1","still_ms":140,"path":"s1[0,4) s3[4,8)","time":"2026-01-01T00:00:02.1Z"}
not a line of a log
{"instance":"east-1","msg":"finished","outcome":"whole","request":"r1","held_ms":2000,"time":"2026-01-01T00:00:03Z"}
{"instance":"west-1","msg":"server does not answer","server":"s2","request":"","time":"2026-01-01T00:00:02Z"}
{"instance":"west-1","msg":"refused","reason":"no_room","request":"r2","config":7,"config_age_ms":300,"held_ms":100,"retry_after_ms":2000,"time":"2026-01-01T00:00:04Z"}
{"instance":"west-1","msg":"attempt broken","server":"s9","error":"EOF","request":"r3","time":"2026-01-01T00:00:05Z"}
{"instance":"west-1","msg":"given up","reason":"broken_answer","request":"r3","time":"2026-01-01T00:00:06Z"}
{"instance":"west-1","msg":"sent","request":"r4","time":"2026-01-01T00:00:07Z"}
`

func why(t *testing.T, request string) string {
	lines, skipped, err := story.Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, 1, skipped)
	var out strings.Builder
	require.True(t, story.Why(&out, lines, request))
	return out.String()
}

func TestWhyTellsTheStoryWithTheBeliefsThatMattered(t *testing.T) {
	got := why(t, "r1")
	require.Contains(t, got, "repaired")
	require.Contains(t, got, "belief")
	require.NotContains(t, got, "west-1", "another instance's beliefs did not decide this request")
	require.Contains(t, got, "cause: none: the answer was passed on whole after 2000 ms; on the way: a repair was refused (no room), path repaired after 140 ms")
}

func TestWhyEndsWithTheCause(t *testing.T) {
	require.Contains(t, why(t, "r2"), "cause: it has not run: every path that the instance knew had no memory left")
	require.Contains(t, why(t, "r3"), "cause: it may have run, and was given up: broken_answer; on the way: the answer of s9 broke (EOF)")
	require.Contains(t, why(t, "r4"), "the log has no line on its end")
}

func TestARequestWithoutALineIsSaidToHaveNone(t *testing.T) {
	lines, _, err := story.Read(strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.False(t, story.Why(&out, lines, "r9"))
}

func TestTimelineTellsBeliefsOnly(t *testing.T) {
	lines, _, err := story.Read(strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.True(t, story.Timeline(&out, lines, "west-1"))
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
}
