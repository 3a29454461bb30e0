package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/loadview"
	"junctioncross/models"
	"junctioncross/retry"
)

// entries is a source of a configuration and of the entries of servers, which do not change.
type entries struct {
	confirming
	servers []backend.Entry
}

// Read implements follow.Source.
func (e entries) Read(ctx context.Context, feed follow.Feed) (follow.Updates, error) {
	if feed == follow.FeedConfig {
		return e.confirming.Read(ctx, feed)
	}
	u := follow.Updates{At: 1, AsOf: e.at}
	if feed == follow.FeedServers {
		for _, one := range e.servers {
			u.Changes = append(u.Changes, follow.ServerSeen{Entry: one})
		}
	}
	return u, nil
}

// unevenDomains are two copies of the model in domain a, and the first half of one in domain b.
func unevenDomains() []backend.Entry {
	var out []backend.Entry
	for i, s := range twoCopies().Servers() {
		out = append(out, backend.Entry{ID: s.ID(), Service: "s", Addr: s.Addr(), Domain: "a", Kind: "k", Layers: s.Layers(), Revision: int64(i + 1)})
	}
	return append(out, backend.Entry{
		ID: "b0", Service: "s", Addr: "127.0.0.1:9", Domain: "b", Kind: "k", Layers: models.Layers{First: 0, End: 4}, Revision: 9,
	})
}

// newLoadedHandler returns a handler with the servers of unevenDomains and a book of load reports.
func newLoadedHandler(t *testing.T, content *catalog.Content, settings AdmissionSettings) (*admitter, *demand.Book) {
	a := newAdmitter(t, &catalog.Content{Version: 1}, settings, noLoads{})
	c, err := catalog.New(content)
	require.NoError(t, err)
	book := demand.NewBook("a")
	a.h.loads = book
	a.h.setLoads(book)
	view := follow.NewFleetView()
	a.h.fleetView, a.h.budget = view, retry.NewBudget(retry.Limit{Window: 10 * time.Second, Fixed: 100}, a.clock.Now())
	follow.New(t.Context(), entries{confirming{catalog: c, at: a.clock.Now()}, unevenDomains()}, view, a.h.ends, a.h.clock, a.stats, a.h.record.Log())
	require.Eventually(t, func() bool {
		g := view.Current().Group("s")
		return g != nil && len(g.Servers()) == 5
	}, testTimeout, time.Millisecond)
	return a, book
}

// overload tells the book of twice as much load as room in domain a, and of some in domain b, until the levels have settled.
func (a *admitter) overload(book *demand.Book) {
	classes := shortLoads().totals.Classes
	for range 50 {
		a.clock.Advance(totalsPeriod)
		now := a.clock.Now()
		for i := range 4 {
			var part []demand.Rates
			for _, r := range classes {
				part = append(part, demand.Rates{Class: r.Class, Offered: r.Offered / 4, Refused: r.Refused / 4, Returned: r.Returned / 4})
			}
			book.AddReports(fmt.Sprint("i-", i), []demand.Report{{
				Service: "s", UnderWay: 100, Waiting: 8, Room: 400, Lifetime: 4320 * time.Millisecond, Classes: part, ToldToReturn: 5,
			}}, 0, now)
		}
		book.AddTotals([]demand.Totals{{Service: "s", Domain: "b", Instances: 3, UnderWay: 7, Room: 90, Lifetime: time.Second}}, now)
		a.h.reviewAdmissions(a.h.fleetView.Current().Groups())
	}
}

// TestTheLoadPageShowsTheTotalsOfTwoDomainsAndALevel has twice as much load as room in the own domain, and a domain without holders
// of half of the layers.
func TestTheLoadPageShowsTheTotalsOfTwoDomainsAndALevel(t *testing.T) {
	a, book := newLoadedHandler(t, rankedContent(0, 2), AdmissionSettings{Ranks: true})
	a.overload(book)
	body, err := json.Marshal(a.h.LoadPage(a.clock.Now()))
	require.NoError(t, err)
	var page loadview.Page
	require.NoError(t, json.Unmarshal(body, &page))
	require.Equal(t, "a", page.Domain)
	require.Empty(t, page.Findings)
	require.Len(t, page.Services, 1)
	s := page.Services[0]
	require.Len(t, s.Domains, 2)
	own, other := s.Domains[0], s.Domains[1]
	require.Equal(t, "a", own.Domain)
	require.True(t, own.TotalsKnown)
	require.Equal(t, []int{4, 400, 32, 20}, []int{own.Instances, own.UnderWay, own.Waiting, own.ToldToReturn})
	require.EqualValues(t, 4320, own.LifetimeMS)
	require.Len(t, own.Classes, 2)
	require.InDelta(t, 140, own.Classes[1].Offered, 1e-9)
	require.InDelta(t, 1, own.Classes[0].Level.First, 0)
	require.InDelta(t, 0.28, own.Classes[1].Level.First, 0.06)
	require.Zero(t, own.Coverage.LayersWithoutHolder)
	require.Positive(t, own.Coverage.Room)
	require.Equal(t, "b", other.Domain)
	require.Equal(t, []int{3, 7}, []int{other.Instances, other.UnderWay})
	require.Equal(t, []models.Layers{{First: 4, End: 8}}, other.Coverage.WithoutHolder)
	require.Zero(t, other.Coverage.Room)
	require.True(t, s.Admission.Ranks.InForce)
	require.Len(t, s.Admission.Levels, 2)
	require.Positive(t, s.Lanes.Own)
	require.Contains(t, string(body), `"levels":[{"rank":{"account":0,"route":0},"first":1,`)
}

// TestTheLoadPageOfAnInstanceThatKnowsNothingIsEmpty asks before there are totals, and before there is a configuration.
func TestTheLoadPageOfAnInstanceThatKnowsNothingIsEmpty(t *testing.T) {
	a, _ := newLoadedHandler(t, rankedContent(0, 2), AdmissionSettings{Ranks: true})
	s := a.h.LoadPage(a.clock.Now()).Services[0]
	require.False(t, s.Domains[0].TotalsKnown)
	require.False(t, s.Admission.TotalsKnown)
	h, clock := testHandler(t, nil)
	body, err := json.Marshal(h.LoadPage(clock.Now()))
	require.NoError(t, err)
	require.JSONEq(t, `{"instance":"","domain":"a","services":[],"findings":[]}`, string(body))
}

// TestTheLoadPageSaysWhichPartsAreInForce names a route, unknown names, a route that cannot be told apart, and a weight without fair
// parts.
func TestTheLoadPageSaysWhichPartsAreInForce(t *testing.T) {
	content := rankedContent(0, 2, 2)
	content.Accounts = []catalog.Account{{Name: "acme", Priority: 1, Keys: []string{"secret-key"}}}
	a, _ := newLoadedHandler(t, content, AdmissionSettings{Parts: []AdmissionPart{
		{Route: "a", Ceiling: 0.1},
		{Account: "x", Ceiling: 0.1},
		{Route: "b", Ceiling: 0.1},
		{Account: "acme", Ceiling: 1, Weight: 2},
		{Account: "acme", Ceiling: 1, Guarantee: 0.2},
	}})
	page := a.h.LoadPage(a.clock.Now())
	body, err := json.Marshal(page)
	require.NoError(t, err)
	require.NotContains(t, string(body), "secret", "keys are not shown")
	admitted := page.Services[0].Admission
	require.Equal(t, "admission.ranks is off", admitted.Ranks.Why)
	inForce, why := []bool{}, []string{}
	for _, p := range admitted.Parts {
		inForce, why = append(inForce, p.InForce), append(why, p.Why)
	}
	require.Equal(t, []bool{true, false, false, false, true}, inForce)
	require.Contains(t, why[1], "no such account")
	require.Contains(t, why[2], "same priority")
	require.Contains(t, why[3], "admission.accounts")
}

// TestTheLoadPageNamesServersOutOfUseWithTheReason puts each server out of use for another reason.
func TestTheLoadPageNamesServersOutOfUseWithTheReason(t *testing.T) {
	a, _ := newLoadedHandler(t, rankedContent(0), AdmissionSettings{})
	servers, now := map[string]*backend.Server{}, a.clock.Now()
	for _, s := range a.h.fleetView.Current().Group("s").Servers() {
		servers[s.ID()] = s
	}
	servers["b0"].NoteLeaveNotice(now)
	servers["s0"].BackOff(now.Add(9 * time.Second))
	servers["s1"].SetAside(now.Add(8 * time.Second))
	servers["s1"].NoteSilent(backend.Connected, now)
	servers["s2"].Suspect(now.Add(7 * time.Second))
	servers["s3"].UpdateLimit(call.Limit{Named: true, PerSecond: 0.1}, now, now)
	servers["s3"].TakePermit(1, now)
	a.h.LoadPage(now)
	a.clock.Advance(time.Second)
	got := a.h.LoadPage(a.clock.Now()).Services[0]
	require.Equal(t, 5, got.OutOfUseCount)
	var lines []string
	for _, s := range got.OutOfUse {
		lines = append(lines, strings.TrimSpace(fmt.Sprintln(s.Server, s.Reason, s.SinceMS, s.Silent)))
	}
	require.Equal(t, []string{
		"s0 backed off 1000", "s1 set aside 1000 own", "s2 suspected 1000", "s3 rate limited 1000", "b0 leaving 1000",
	}, lines)
	require.EqualValues(t, 8000, got.OutOfUse[0].LeftMS)
	a.clock.Advance(10 * time.Second)
	for _, s := range a.h.LoadPage(a.clock.Now()).Services[0].OutOfUse {
		require.Contains(t, []string{"leaving", "rate limited"}, s.Reason, "the others are in use again")
	}
}

// TestTheLoadPageIsBounded has more servers out of use than a page shows.
func TestTheLoadPageIsBounded(t *testing.T) {
	h, clock := testHandler(t, nil)
	service := twoCopies().Service()
	var servers []*backend.Server
	for i := range loadview.MaxServers + 10 {
		s := backend.NewServer(backend.Entry{
			ID: fmt.Sprint("s", i), Service: "s", Addr: fmt.Sprint("127.0.0.1:", i+1), Domain: "a", Kind: "k", Layers: models.Layers{End: 8},
		})
		s.BackOff(clock.Now().Add(time.Second))
		servers = append(servers, s)
	}
	list, n := h.serversOutOfUse(backend.NewGroup(service, servers), clock.Now())
	require.Len(t, list, loadview.MaxServers)
	require.Equal(t, loadview.MaxServers+10, n)
	var d loadview.Domain
	setTotals(&d, &demand.Totals{Classes: make([]demand.Rates, loadview.MaxClasses+3)})
	require.Len(t, d.Classes, loadview.MaxClasses)
	require.Equal(t, loadview.MaxClasses+3, d.ClassCount)
}
