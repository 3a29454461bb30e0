package revision_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/intent"
	"junctioncross/revision"
	"junctioncross/standin"
	"junctioncross/timer"
)

func document(accounts int, weight float64) *intent.Document {
	d := &intent.Document{
		Models: []intent.Model{{Name: "m", Layers: 4, Version: "v"}},
		Groups: []intent.Group{{Name: "g", Weight: weight, Models: []string{"m"}}},
	}
	for i := range accounts {
		d.Accounts = append(d.Accounts, intent.Account{Name: fmt.Sprintf("a%05d", i), Group: "g", Weight: 1, KeyHash: fmt.Sprintf("%064x", i)})
	}
	return d
}

func TestSegmentsOf20000AccountsFitTheServiceAndJoinAgain(t *testing.T) {
	const megabyte = 1 << 20
	d := document(20_000, 1)
	segments, err := revision.Split(d)
	require.NoError(t, err)
	bodies := map[string][]byte{}
	for i, s := range segments {
		require.Less(t, len(s.Body()), megabyte/4)
		bodies[s.Name()] = segments[i].Body()
	}
	joined, err := revision.Join(bodies)
	require.NoError(t, err)
	require.Equal(t, d.Accounts, joined.Accounts)
	require.Equal(t, d.Groups, joined.Groups)
}

func heads(t require.TestingT, weights ...float64) ([]revision.Head, map[string][]byte) {
	var out []revision.Head
	bodies := map[string][]byte{}
	for i, w := range weights {
		segments, err := revision.Split(document(3, w))
		require.NoError(t, err)
		h := revision.Head{Revision: revision.Number(i + 1), Segments: map[string]string{}}
		for _, s := range segments {
			h.Segments[s.Name()] = s.Hash()
			bodies[s.Hash()] = s.Body()
		}
		out = append(out, h)
	}
	return out, bodies
}

func TestKeeperNeverReturnsToALowerRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, bodies := heads(t, 1, 2, 3, 4, 5)
		k := revision.NewKeeper()
		var highest revision.Number
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			h := all[rapid.IntRange(0, len(all)-1).Draw(t, "head")]
			broken := rapid.Bool().Draw(t, "broken")
			changed, err := k.Offer(h, func(hash string) ([]byte, error) {
				if broken {
					return []byte("something else"), nil
				}
				return bodies[hash], nil
			})
			if changed {
				require.NoError(t, err)
				require.Greater(t, h.Revision, highest)
				highest = h.Revision
			}
			require.Equal(t, highest, k.Revision())
			if f := k.InForce(); f != nil {
				require.InDelta(t, float64(highest), f.Document().Groups[0].Weight, 0)
			}
		}
	})
}

// confirmInput is one confirmation in the history that porcupine checks.
type confirmInput struct {
	plan string
	base revision.Number
}

// confirmOutput is the answer to an operator: accepted, refused because of a conflict, or certainly not done. If no field is set,
// the outcome is unknown.
type confirmOutput struct {
	accepted bool
	conflict bool
	notDone  bool
}

// headModel models the head as a register that lists the accepted plans. A plan is accepted if the register is at the plan's base
// revision; confirming an accepted plan again succeeds and changes nothing. An unknown outcome allows both states, and an answer
// that nothing was done allows only the unchanged one.
var headModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{[]string{}} },
	Step:  stepHead,
	Equal: func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) },
}

func stepHead(state, input, output any) []any {
	accepted := state.([]string)
	in, out := input.(confirmInput), output.(confirmOutput)
	unchanged := []any{accepted}
	if out.notDone {
		return unchanged
	}
	if slices.Contains(accepted, in.plan) {
		if out.conflict {
			return nil
		}
		return unchanged
	}
	if revision.Number(len(accepted)) != in.base {
		if out.accepted {
			return nil
		}
		return unchanged
	}
	next := append(append([]string{}, accepted...), in.plan)
	switch {
	case out.accepted:
		return []any{next}
	case out.conflict:
		return nil
	default:
		return []any{next, accepted}
	}
}

// TestConfirmationsUnderLostAnswersAreLinearizable lets operators confirm conflicting plans, each twice, while the service loses
// calls and answers.
func TestConfirmationsUnderLostAnswersAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		keys := standin.NewKV(time.Now)
		reliable := revision.NewStore(standin.NewLocalKV(keys, seed, 0, 0), timer.NewReal())
		faulty := standin.NewLocalKV(keys, seed, 0.2, 0.3)
		clock := clockwork.NewFakeClock()
		store := revision.NewStore(faulty, timer.New(clock))
		var history []porcupine.Event
		id := 0
		for round := range 3 {
			head, _, err := reliable.Head(t.Context())
			require.NoError(t, err)
			plans := addPlans(t, reliable, head, round)
			history, id = confirmAll(store, clock, plans, history, id)
		}
		require.True(t, porcupine.CheckEvents(headModel.ToModel(), history), "seed %d", seed)
	}
}

func addPlans(t *testing.T, store *revision.Store, head revision.Head, round int) []revision.Plan {
	var plans []revision.Plan
	for i := range 3 {
		p := revision.Plan{ID: fmt.Sprintf("p-%d-%d", round, i), Base: head.Revision}
		p, err := store.AddPlan(t.Context(), p, head, document(2, float64(10*round+i+1)))
		require.NoError(t, err)
		plans = append(plans, p)
	}
	return plans
}

// confirmAll confirms every plan twice, all concurrently, and appends the calls and their answers to the history.
func confirmAll(store *revision.Store, clock *clockwork.FakeClock, plans []revision.Plan, history []porcupine.Event, id int) ([]porcupine.Event, int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	record := func(e porcupine.Event) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, e)
	}
	for i := range 2 * len(plans) {
		p := plans[i/2]
		call := id
		id++
		record(porcupine.Event{ClientId: call, Kind: porcupine.CallEvent, Id: call, Value: confirmInput{plan: p.ID, base: p.Base}})
		wg.Go(func() {
			_, err := store.Confirm(context.Background(), p.ID, "op")
			var conflict *revision.ConflictError
			out := confirmOutput{
				accepted: err == nil, conflict: errors.As(err, &conflict), notDone: errors.Is(err, revision.ErrUnavailable),
			}
			record(porcupine.Event{ClientId: call, Kind: porcupine.ReturnEvent, Id: call, Value: out})
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			return history, id
		case <-time.After(time.Millisecond):
			clock.Advance(time.Second)
		}
	}
}

func TestAConflictSaysWhatChangedMeanwhile(t *testing.T) {
	store := revision.NewStore(standin.NewLocalKV(standin.NewKV(time.Now), 1, 0, 0), timer.NewReal())
	head, _, err := store.Head(t.Context())
	require.NoError(t, err)
	plans := addPlans(t, store, head, 0)
	_, err = store.Confirm(t.Context(), plans[0].ID, "ann")
	require.NoError(t, err)
	_, err = store.Confirm(t.Context(), plans[1].ID, "bob")
	var conflict *revision.ConflictError
	require.True(t, errors.As(err, &conflict))
	require.Equal(t, "ann", conflict.Meantime()[0].Who)
	again, err := store.Confirm(t.Context(), plans[0].ID, "ann")
	require.NoError(t, err)
	require.Equal(t, revision.Number(1), again.Revision)
	_, err = store.Confirm(t.Context(), "p-none", "ann")
	require.ErrorIs(t, err, revision.ErrNoPlan)
}

func TestHistoryKeepsEveryConfirmation(t *testing.T) {
	store := revision.NewStore(standin.NewLocalKV(standin.NewKV(time.Now), 1, 0, 0), timer.NewReal())
	const count = 40
	for i := range count {
		head, _, err := store.Head(t.Context())
		require.NoError(t, err)
		p, err := store.AddPlan(t.Context(), revision.Plan{ID: fmt.Sprint("p-", i), Base: head.Revision}, head, document(1, float64(i+1)))
		require.NoError(t, err)
		_, err = store.Confirm(t.Context(), p.ID, "op")
		require.NoError(t, err)
	}
	entries, err := store.History(t.Context())
	require.NoError(t, err)
	require.Len(t, entries, count)
	for i, e := range entries {
		require.Equal(t, revision.Number(count-i), e.Revision)
	}
	again, err := store.Confirm(t.Context(), "p-0", "op")
	require.NoError(t, err)
	require.Equal(t, revision.Number(1), again.Revision)
}
