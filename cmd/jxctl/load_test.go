package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"junctioncross/httphead/headcase"
	"junctioncross/httphead/headtest"
	"junctioncross/loadview"
	"junctioncross/models"
)

var update = flag.Bool("update", false, "write the golden files")

// shortOfRoom is the page of an instance of a domain with twice as much load as room, beside a domain that lacks layers.
func shortOfRoom(instance string) loadview.Page {
	ranks := loadview.Setting{InForce: true, Why: "requests have different ranks: route urgent: 0, route bulk: 2"}
	return loadview.Page{Instance: instance, Domain: "hall-a", Services: []loadview.Service{{
		Service: "chat", Own: loadview.Own{UnderWay: 130, Waiting: 2, ToldToReturn: 9, LifetimeMS: 4100},
		Domains: []loadview.Domain{
			{
				Domain: "hall-a", TotalsKnown: true, AgeMS: 410, Instances: 3, Room: 400, UnderWay: 398, Waiting: 8, ToldToReturn: 31,
				LifetimeMS: 4100, Coverage: loadview.Coverage{Servers: 30, Usable: 29, Room: 412.5},
				Classes: []loadview.Class{
					{Offered: 60, Level: &loadview.Level{First: 1, Returned: 1}},
					{Rank: loadview.Rank{Account: 1, Route: 2}, Account: "acme", Offered: 140, Refused: 98, Returned: 60, Level: &loadview.Level{First: 0.3, Ceiling: true}},
				},
				ClassCount: 2,
			},
			{Domain: "hall-b", Coverage: loadview.Coverage{
				Servers: 9, Usable: 8, LayersWithoutHolder: 12, WithoutHolder: []models.Layers{{First: 0, End: 4}, {First: 9, End: 16}, {First: 20, End: 21}},
			}},
		},
		Admission: loadview.Admission{
			Ranks: ranks, Accounts: loadview.Setting{Why: "admission.accounts is off"}, TotalsKnown: true,
			Parts: []loadview.Part{{
				Field: "admission.parts[0]", Route: "bulk", Ceiling: 0.25, Guarantee: 0.1,
				Setting: loadview.Setting{Why: "the configuration has no such route"},
			}},
			Levels: []loadview.RankLevel{
				{Level: loadview.Level{First: 1, Returned: 1}}, {Rank: loadview.Rank{Account: 1, Route: 2}, Level: loadview.Level{First: 0.3}},
			},
		},
		Retries:  loadview.Retries{Left: 12.5, Requests: 900, Fixed: 4},
		Lanes:    loadview.Lanes{Lanes: 14, Own: 396, Others: 120},
		OutOfUse: []loadview.Server{{Server: "s-17", Domain: "hall-a", Reason: "set aside", SinceMS: 1400, LeftMS: 600, Silent: loadview.SilentOwn}},
	}}, Findings: []loadview.Finding{{Service: "chat", Kind: "silent", Server: "s-17", Source: "i-7", AgeMS: 700}}}
}

// TestTheTableOfTheLoad compares it with testdata/load.txt.
func TestTheTableOfTheLoad(t *testing.T) {
	other := shortOfRoom("i-2")
	other.Services[0].OutOfUse = nil
	other.Services[0].Admission.Parts = nil
	f := loadview.Merge([]loadview.Page{shortOfRoom("i-1"), other}, []loadview.Failure{{Address: "10.0.0.9:7200", Error: "connection refused"}})
	var out bytes.Buffer
	require.NoError(t, writeLoad(&out, &f))
	if *update {
		require.NoError(t, os.WriteFile("testdata/load.txt", out.Bytes(), 0o644))
	}
	want, err := os.ReadFile("testdata/load.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}

// TestTheTableStaysWithinItsWidth has long and unprintable names, and large numbers.
func TestTheTableStaysWithinItsWidth(t *testing.T) {
	long := strings.Repeat("long-name\x1b[31m\t", 20)
	p := shortOfRoom(long)
	p.Domain = long
	s := &p.Services[0]
	s.Service, s.OutOfUse[0].Server, s.OutOfUse[0].Reason, s.Admission.Ranks.Why, p.Findings[0].Source = long, long, long, long, long
	s.Domains[0].Domain, s.Domains[0].Room, s.Domains[0].UnderWay, s.Domains[0].Classes[1].Account = long, 1e9, 1e9, long
	s.Admission.Parts[0].Field, s.Admission.Parts[0].Route = long, long
	f := loadview.Merge([]loadview.Page{p}, []loadview.Failure{{Address: long, Error: long + "\n"}})
	var out bytes.Buffer
	require.NoError(t, writeLoad(&out, &f))
	require.NotContains(t, out.String(), "\x1b")
	for line := range strings.Lines(out.String()) {
		require.LessOrEqual(t, utf8.RuneCountInString(strings.TrimSuffix(line, "\n")), lineWidth, line)
	}
}

// answering returns the address of a server that answers with a body.
func answering(t *testing.T, body string) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/load" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// silent returns the address of a server that does not answer until the test ends.
func silent(t *testing.T) string {
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-end }))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(end) })
	return strings.TrimPrefix(s.URL, "http://")
}

// TestAnInstanceThatDoesNotAnswerIsNamedAndTheOthersAreShown asks one that answers, one that does not, and one with a broken answer.
func TestAnInstanceThatDoesNotAnswerIsNamedAndTheOthersAreShown(t *testing.T) {
	body, err := json.Marshal(shortOfRoom("i-1"))
	require.NoError(t, err)
	good, none, broken := answering(t, string(body)), silent(t), answering(t, "{")
	var out bytes.Buffer
	l := loadCommand{Addresses: []string{good, none, broken}, Timeout: time.Second}
	require.NoError(t, l.show(t.Context(), &out))
	require.Contains(t, out.String(), "1 of 3 instances answered")
	require.Contains(t, out.String(), "no answer from "+none)
	require.Contains(t, out.String(), "no answer from "+broken)
	require.Contains(t, out.String(), "service chat")

	out.Reset()
	l = loadCommand{Addresses: []string{none, broken}, Timeout: 100 * time.Millisecond, JSON: true}
	require.ErrorIs(t, l.show(t.Context(), &out), errNoLoad)
	var f loadview.Fleet
	require.NoError(t, json.Unmarshal(out.Bytes(), &f))
	require.Len(t, f.Failed, 2)
}

// TestAPageWithABrokenHeadIsNotShown guards operators against figures that an instance did not give.
func TestAPageWithABrokenHeadIsNotShown(t *testing.T) {
	body, err := json.Marshal(shortOfRoom("i-1"))
	require.NoError(t, err)
	for _, c := range headcase.Broken() {
		t.Run(c.String(), func(t *testing.T) {
			server := headtest.NewServer(t, c.Answer("", string(body)))
			l := loadCommand{Addresses: []string{server.Addr()}, Timeout: time.Minute}
			require.ErrorIs(t, l.show(t.Context(), io.Discard), errNoLoad)
		})
	}
}

// TestAnInterruptEndsTheWaitForInstances guards against a command that goes on until its timeout when it is interrupted.
func TestAnInterruptEndsTheWaitForInstances(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l := loadCommand{Addresses: []string{silent(t)}, Timeout: time.Hour}
	require.ErrorIs(t, l.show(ctx, io.Discard), errNoLoad)
}
