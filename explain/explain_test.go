package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/explain"
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
	lines, skipped, err := explain.Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, 1, skipped)
	var out strings.Builder
	require.True(t, explain.Why(&out, lines, request))
	return out.String()
}

func TestWhyPrintsTheRelevantBeliefs(t *testing.T) {
	got := why(t, "r1")
	require.Contains(t, got, "repaired")
	require.Contains(t, got, "belief")
	require.NotContains(t, got, "west-1", "beliefs of other instances are irrelevant to the request")
	require.Contains(t, got, "cause: none: the answer was passed on whole after 2000 ms; on the way: a repair was refused (no room), path repaired after 140 ms")
}

func TestWhyEndsWithTheCause(t *testing.T) {
	require.Contains(t, why(t, "r2"), "cause: it has not run: every path that the instance knew had no memory left")
	require.Contains(t, why(t, "r3"), "cause: it may have run, and was given up: broken_answer; on the way: the answer of s9 broke (EOF)")
	require.Contains(t, why(t, "r4"), "the log has no line on its end")
}

func TestWhyReportsARequestWithoutLines(t *testing.T) {
	lines, _, err := explain.Read(strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.False(t, explain.Why(&out, lines, "r9"))
}

func TestTimelineOmitsLinesAboutRequests(t *testing.T) {
	lines, _, err := explain.Read(strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.True(t, explain.Timeline(&out, lines, "west-1"))
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
}

// cause returns the sentence on the cause that Why prints for a request of a log.
func cause(t *testing.T, log, request string) string {
	lines, _, err := explain.Read(strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.True(t, explain.Why(&out, lines, request))
	_, sentence, _ := strings.Cut(out.String(), "cause: ")
	return strings.TrimSpace(sentence)
}

// line returns a line about request r of instance i at the given second.
func line(second, fields string) string {
	return `{"instance":"i","request":"r","time":"2026-01-01T00:00:0` + second + `Z",` + fields + "}\n"
}

func TestTheCauseListsTheProblemsOfAStream(t *testing.T) {
	end := line("9", `"msg":"finished","outcome":"whole","held_ms":9`)
	for fields, want := range map[string]string{
		`"msg":"handed over","server":"s1","next":"s2"`:      "left s1, which was leaving or dropped its layers, resumed on s2",
		`"msg":"first part is silent","server":"s1"`:         "first server s1 fell silent",
		`"msg":"waits to go on","reason":"attempts_used_up"`: "had to wait before it could be resumed: it may still be running on as many servers as it is allowed to",
		`"msg":"evacuated"`:                                             "path changed to avoid leaving servers",
		`"msg":"not evacuated","error":"no room"`:                       "a path without the leaving servers was refused (no room)",
		`"msg":"waited for room","waited_ms":40,"came":true`:            "waited 40 ms for room",
		`"msg":"waited for room","waited_ms":40,"came":false`:           "waited 40 ms for room and got none",
		`"msg":"stage failed","server":"s1","attempt":2,"error":"gone"`: "s1 failed in attempt 2 (gone)",
	} {
		require.Equal(t, "none: the answer was passed on whole after 9 ms; on the way: "+want, cause(t, line("1", fields)+end, "r"))
	}
}

func TestTheCauseSaysWhyAStreamWasNotResumed(t *testing.T) {
	got := cause(t, line("1", `"msg":"broken off","last_event":7,"last_attempt":"repeat_budget_spent","runs":2,"most_runs":3,"still_ms":900,"patience_ms":2000`), "r")
	require.Equal(t, "the stream broke after event 7 and could not be continued: the instance's share of the retry budget was spent "+
		"(ran on 2 servers, 3 allowed at once; no event for 900 ms, callers wait 2000 ms)", got)
}

func TestTheCauseOfARefusalNamesDomainsThatAreTooSmall(t *testing.T) {
	const small = "domain too small for a copy of the model with the usual room"
	other := func(second, fields string) string {
		return `{"instance":"j","time":"2026-01-01T00:00:0` + second + `Z",` + fields + "}\n"
	}
	log := other("1", `"msg":"coverage","of_domain":"east"`) + other("1", `"msg":"`+small+`","of_domain":"east","short_layers":4`) +
		other("1", `"msg":"`+small+`","of_domain":"west","short_layers":2`) + other("2", `"msg":"coverage","of_domain":"west"`) +
		line("3", `"msg":"room would come too late","likelihood":0.2,"places":3,"left_ms":800`) +
		line("4", `"msg":"refused","reason":"no_room","fate":"not_run","held_ms":3,"retry_after_ms":2000`)
	require.Equal(t, "it has not run: every path that the instance knew had no memory left for it (held 3 ms; told to retry after 2000 ms)"+
		"; on the way: room was not likely to come in time (0.2 for 3 places in 800 ms)"+
		"; too small for a copy of the model with the usual room: east (4 layers)", cause(t, log, "r"))
}

func TestWhyPrintsBeliefsAboutThePathsOfTheService(t *testing.T) {
	log := `{"instance":"i","msg":"lanes","request":"","service":"s","own_domain":0,"time":"2026-01-01T00:00:01Z"}
{"instance":"i","msg":"path regained","request":"q","service":"s","spell_ms":700,"time":"2026-01-01T00:00:01Z"}
{"instance":"i","msg":"lanes","request":"","service":"other","own_domain":3,"time":"2026-01-01T00:00:01Z"}
` + line("2", `"msg":"refused","service":"s","reason":"no_room"`)
	lines, _, err := explain.Read(strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.True(t, explain.Why(&out, lines, "r"))
	require.Contains(t, out.String(), "lanes own_domain=0")
	require.Contains(t, out.String(), "path regained")
	require.NotContains(t, out.String(), "own_domain=3")
}

func TestTheCauseOfARefusalByJxdRunNamesTheFate(t *testing.T) {
	for fate, want := range map[string]string{
		"not_run": "it has not run: ", "unknown": "it may have run, and was given up: ", "ran": "a request with its key has run before: ",
	} {
		got := cause(t, line("1", `"msg":"refused","reason":"retries_exhausted","fate":"`+fate+`","config":3,"held_ms":5,"retry_after_ms":0`), "r")
		require.Equal(t, want+"retries_exhausted (configuration 3; held 5 ms)", got)
	}
}

func TestWhyOmitsBeliefsAboutServersWithSimilarNames(t *testing.T) {
	log := `{"instance":"i","msg":"server gone","server":"s1","time":"2026-01-01T00:00:01Z"}
{"instance":"i","msg":"server gone","server":"s12","time":"2026-01-01T00:00:01Z"}
{"instance":"i","msg":"stopping","time":"2026-01-01T00:00:01Z"}
` + line("1", `"msg":"sent","server":"s12","path":"s12[0,4) s3[4,8)"`) + line("2", `"msg":"broken off"`)
	lines, _, err := explain.Read(strings.NewReader(log))
	require.NoError(t, err)
	var out strings.Builder
	require.True(t, explain.Why(&out, lines, "r"))
	require.Contains(t, out.String(), "server gone server=s12\n")
	require.NotContains(t, out.String(), "server=s1\n")
	require.NotContains(t, out.String(), "stopping")
}
