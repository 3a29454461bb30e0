package loadview

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// testPage is a page of an instance with the given age of its totals.
func testPage(instance string, age int64, known bool) Page {
	return Page{Instance: instance, Domain: "a", Services: []Service{{
		Service: "chat",
		Domains: []Domain{{
			Domain: "a", TotalsKnown: known, AgeMS: age, Instances: 3, UnderWay: int(age), Coverage: Coverage{Servers: 4, Usable: 4},
			Classes: []Class{{Rank: Rank{Route: 2}, Offered: 7}},
		}},
		OutOfUse: []Server{{Server: "s1", Domain: "a", Reason: "set aside", SinceMS: age, Silent: SilentOther}},
	}}, Findings: []Finding{{Server: "s1", Kind: "silent", Source: "i-9", AgeMS: age}}}
}

func encoded(t testing.TB, p Page) string {
	body, err := json.Marshal(p)
	require.NoError(t, err)
	return string(body)
}

func TestAPageIsReadAsItWasWritten(t *testing.T) {
	p := testPage("i-1", 300, true)
	got, err := Parse(strings.NewReader(encoded(t, p)))
	require.NoError(t, err)
	require.Equal(t, encoded(t, p), encoded(t, got))
}

func TestWhatIsNoPageIsAnError(t *testing.T) {
	many := testPage("i-1", 1, true)
	many.Services[0].OutOfUse = make([]Server, MaxServers+1)
	for name, body := range map[string]string{
		"empty": "", "no JSON": "404 page", "cut": encoded(t, testPage("i-1", 1, true))[:80], "other type": `{"instance": 7}`,
		"list": "[]", "null": "null", "unnamed": `{"services": []}`, "huge number": `{"instance":"i","services":[{"service":"s","own":{"under_way":1e999}}]}`,
		"two values": `{"instance":"i"}{"instance":"j"}`, "too many servers": encoded(t, many),
		"unnamed service": `{"instance":"i","services":[{}]}`, "deep": strings.Repeat("[", 100_000), "long": strings.Repeat(" ", MaxPageBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(strings.NewReader(body))
			require.ErrorIs(t, err, ErrPage)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(encoded(f, testPage("i-1", 300, true)))
	f.Add(`{"instance":"i","services":[{"service":"s","domains":[{"classes":[{"level":null}]}]}]}`)
	f.Fuzz(func(_ *testing.T, body string) {
		p, err := Parse(strings.NewReader(body))
		if err != nil {
			return
		}
		merged := Merge([]Page{p, testPage("i-2", 4, true)}, nil)
		_ = merged.Only("chat")
	})
}
