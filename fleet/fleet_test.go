package fleet_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/fault"
	"junctioncross/fleet"
	"junctioncross/load"
	"junctioncross/models"
	"junctioncross/schema"
	"junctioncross/standin"
)

const testTimeout = 40 * time.Second

// startFleet runs a fleet with the programs that the Makefile has built.
func startFleet(t *testing.T, spec fleet.Spec) *fleet.Fleet {
	bin := os.Getenv("JX_BIN")
	if bin == "" {
		t.Skip("JX_BIN names no programs; make test sets it")
	}
	f, err := fleet.Start(spec, bin)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	t.Cleanup(func() { requireSchema(t, f) })
	return f
}

// requireSchema checks each complete line that the instances have logged against the schema of log lines.
func requireSchema(t *testing.T, f *fleet.Fleet) {
	for _, e := range f.Entries() {
		printed, err := os.ReadFile(filepath.Join(f.Dir(), e.Name+".log"))
		require.NoError(t, err)
		lines := strings.Split(string(printed), "\n")
		// The last line of a running instance may be incomplete.
		for _, line := range lines[:len(lines)-1] {
			if err := schema.Check([]byte(line)); err != nil {
				t.Errorf("%v: %s", err, line)
			}
		}
	}
}

// smallSpec returns the Spec of a fleet with one domain.
func smallSpec(entries int, engines ...string) fleet.Spec {
	spec := fleet.DefaultSpec()
	spec.Domains = []string{"d"}
	spec.Entries = []int{entries}
	spec.Engines = engines
	spec.ListLag = 0
	return spec
}

// TestInstancesThatStartAtOnceFindEachOther starts many instances at once, which form several groups before all of them know
// each other.
func TestInstancesThatStartAtOnceFindEachOther(t *testing.T) {
	const count = 10
	f := startFleet(t, smallSpec(count))
	require.NoError(t, fleet.Eventually(testTimeout, func() error {
		for _, e := range f.Entries() {
			live, err := fleet.Metric(e.Health, "jx_members_live")
			if err != nil {
				return err
			}
			if live != count {
				return errors.Errorf("%s knows %d live instances", e.Name, live)
			}
		}
		return nil
	}))
}

// sendChecked sends one request and returns its reply, checked against the computed answer.
func sendChecked(t *testing.T, f *fleet.Fleet, e *fleet.Entry, prompt string, onToken func(int)) *load.Response {
	const limit = 30
	m := f.Spec().Models[0]
	r, err := load.NewClient().Stream(t.Context(), load.Request{
		Addr: e.Callers, Key: fleet.KeyCounter, Model: m.Name, Prompt: prompt, MaxTokens: limit, OnToken: onToken,
	})
	require.NoError(t, err)
	require.Equal(t, 200, r.Status, "%s", r.Reason)
	want, _, _ := standin.NewModel(m.Name, m.Version, m.Layers).Answer(load.PromptText(prompt), limit)
	require.Equal(t, want, r.Text, "finish %q, reason %q, fate %q", r.Finish, r.Reason, r.Fate)
	return r
}

// TestAnswersAreCompleteWhenStagesDieHangOrLoseConnections breaks each engine in turn in the middle of an answer.
func TestAnswersAreCompleteWhenStagesDieHangOrLoseConnections(t *testing.T) {
	spec := smallSpec(2, "a", "a", "b", "b", "c", "c")
	spec.Models = spec.Models[:1]
	spec.Groups = spec.Groups[:1]
	spec.Accounts = spec.Accounts[:1]
	spec.Proxied = true
	f := startFleet(t, spec)
	faults := []struct {
		name  string
		begin func(e *fleet.Engine) error
		end   func(e *fleet.Engine) error
	}{
		{"killed", func(e *fleet.Engine) error { e.Process.Kill(); return nil }, f.StartEngine},
		{
			"hung",
			func(e *fleet.Engine) error { return fleet.SetEngineFault(e, standin.EngineFault{Hung: true}) },
			func(e *fleet.Engine) error { return fleet.SetEngineFault(e, standin.EngineFault{}) },
		},
		{
			"cut",
			func(e *fleet.Engine) error { f.Proxies().Engine(e.Name).Cut(); return nil },
			func(e *fleet.Engine) error { return f.Proxies().Engine(e.Name).Heal() },
		},
		{
			"resets",
			func(e *fleet.Engine) error { return f.Proxies().Engine(e.Name).Add(fault.Reset(1, 300)) },
			func(e *fleet.Engine) error { return f.Proxies().Engine(e.Name).Remove("reset") },
		},
	}
	for i, tt := range faults {
		for j, e := range f.Engines() {
			t.Run(tt.name+" "+e.Name, func(t *testing.T) {
				begun := false
				sendChecked(t, f, f.Entries()[(i+j)%2], fmt.Sprint("question ", i, j), func(n int) {
					if n == 0 {
						begun = true
						require.NoError(t, tt.begin(e))
						t.Cleanup(func() { require.NoError(t, tt.end(e)) })
					}
				})
				require.True(t, begun, "the answer ended before the fault")
			})
		}
		require.NoError(t, f.AwaitServing())
	}
}

// TestAPaymentRunsOnceWhenTheStoreLosesAnswers repeats calls with an idempotency key on all instances while the key-value
// service loses answers to writes of claims.
func TestAPaymentRunsOnceWhenTheStoreLosesAnswers(t *testing.T) {
	spec := smallSpec(3, "a", "a")
	f := startFleet(t, spec)
	require.NoError(t, fleet.Post(f.KVAddr(), "/faults", standin.KVFault{LoseAnswers: 4}))
	accepted := map[string]int{}
	for n := range 12 {
		key := fmt.Sprint("key-", n/3)
		status, fate := confirmBooking(t, f.Entries()[n%3], key)
		if status == http.StatusOK {
			accepted[key]++
			continue
		}
		require.Contains(t, []int{http.StatusConflict, http.StatusServiceUnavailable}, status)
		if status == http.StatusConflict {
			require.NotEqual(t, models.FateNotRun, fate)
		}
	}
	for key, n := range accepted {
		require.Equal(t, 1, n, key)
	}
	total := map[string]int{}
	for _, s := range f.Services() {
		tally, err := fleet.Get[map[string]int](s.Addr, "/test/tally")
		require.NoError(t, err)
		for key, n := range tally {
			total[key] += n
		}
	}
	require.Equal(t, accepted, total)
}

func confirmBooking(t *testing.T, e *fleet.Entry, key string) (int, models.Fate) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Callers+"/services/bookings/confirm", strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+fleet.KeyCounter)
	req.Header.Set(models.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode, models.Fate(resp.Header.Get(models.HeaderFate))
}

// TestADomainCutOffFromThePlatformReceivesChanges cuts one domain off from the platform, but not from the other domain.
func TestADomainCutOffFromThePlatformReceivesChanges(t *testing.T) {
	spec := smallSpec(2)
	spec.Domains = []string{"d", "e"}
	spec.Entries = []int{2, 2}
	spec.Proxied = true
	f := startFleet(t, spec)
	f.Proxies().KV("e").Cut()
	f.Proxies().List("e").Cut()
	entry, err := f.Apply("test", fleet.ShareChange("counter", 5))
	require.NoError(t, err)
	require.NoError(t, fleet.Eventually(testTimeout, func() error {
		for _, e := range f.Entries() {
			if have, err := fleet.Metric(e.Health, "jx_revision"); err != nil || have < int64(entry.Revision) {
				return errors.Errorf("%s has revision %d: %v", e.Name, have, err)
			}
		}
		return nil
	}))
}
