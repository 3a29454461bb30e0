package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"junctioncross/claim"
	"junctioncross/metrics"
	"junctioncross/standin"
	"junctioncross/timer"
)

// input is one claim in the history that porcupine checks.
type input struct {
	key     string
	request string
}

// Outcomes of a claim as its caller sees them.
const (
	granted = iota
	refused
	unknown
)

// keyModel models one key: it belongs to the first request that claims it.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		out := make([][]porcupine.Operation, 0, len(byKey))
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		holder, request := state.(string), in.(input).request
		switch {
		case holder == "" && out.(int) == unknown:
			return true, request
		case holder == "":
			return out.(int) == granted, request
		case holder == request:
			return out.(int) != refused, holder
		default:
			return out.(int) != granted, holder
		}
	},
	// A claim of unknown outcome may also never have been recorded; withKnownOutcome removes such claims beforehand.
	Equal: func(a, b any) bool { return a == b },
}

// TestAtMostOneRequestHoldsAKey lets several writers claim the same keys concurrently while the service loses calls and answers.
func TestAtMostOneRequestHoldsAKey(t *testing.T) {
	for seed := range uint64(8) {
		keys := standin.NewKV(time.Now)
		faulty := standin.NewLocalKV(keys, seed, 0.15, 0.25)
		const writers, perWriter = 4, 25
		keepers := make([]*claim.Logs, writers)
		for w := range keepers {
			keepers[w] = claim.NewLogs(faulty, timer.NewReal(), metrics.New(), fmt.Sprint("w", w), 2)
		}
		history := claimConcurrently(keepers, perWriter)
		faulty.Heal()
		requireOneHolder(t, keepers, history)
		require.True(t, porcupine.CheckOperations(keyModel, withKnownOutcome(history)), "seed %d", seed)
	}
}

func claimConcurrently(keepers []*claim.Logs, perWriter int) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for w, k := range keepers {
		wg.Go(func() {
			for i := range perWriter {
				in := input{key: fmt.Sprint("key", i%10), request: fmt.Sprintf("w%d-%d", w, i)}
				start := time.Now().UnixNano()
				v, err := k.Submit(context.Background(), claim.Claim{Key: in.key, Request: in.request})
				out := unknown
				if err == nil {
					out = refused
					if _, ok := v.(claim.Granted); ok {
						out = granted
					}
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: w, Input: in, Call: start, Output: out, Return: time.Now().UnixNano()})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return history
}

// withKnownOutcome drops the claims of unknown outcome, which may never have been recorded, and the claims of keys that no
// request was granted.
func withKnownOutcome(history []porcupine.Operation) []porcupine.Operation {
	holder := map[string]string{}
	for _, op := range history {
		if op.Output.(int) == granted {
			holder[op.Input.(input).key] = op.Input.(input).request
		}
	}
	var out []porcupine.Operation
	for _, op := range history {
		if op.Output.(int) != unknown && holder[op.Input.(input).key] != "" {
			out = append(out, op)
		}
	}
	return out
}

func requireOneHolder(t *testing.T, keepers []*claim.Logs, history []porcupine.Operation) {
	holders := map[string]string{}
	for _, op := range history {
		in := op.Input.(input)
		if op.Output.(int) != granted {
			continue
		}
		require.Empty(t, holders[in.key], "two requests hold key %s", in.key)
		holders[in.key] = in.request
	}
	for key, request := range holders {
		for _, k := range keepers {
			v, err := k.Submit(t.Context(), claim.Claim{Key: key, Request: "late-" + request})
			require.NoError(t, err)
			require.IsType(t, claim.Duplicate{}, v)
		}
	}
}

func newKeeper(keys *standin.KV, writer string) *claim.Logs {
	return claim.NewLogs(standin.NewLocalKV(keys, 1, 0, 0), timer.NewReal(), metrics.New(), writer, 1)
}

func ask(t *testing.T, k *claim.Logs, c claim.Claim) claim.Verdict {
	v, err := k.Submit(t.Context(), c)
	require.NoError(t, err)
	return v
}

func TestRetriesOnOtherInstancesLearnTheOutcome(t *testing.T) {
	keys := standin.NewKV(time.Now)
	a := newKeeper(keys, "a")
	first := claim.Claim{Key: "k", BodyHash: 7, Request: "r1"}
	require.Equal(t, claim.Granted{}, ask(t, a, first))
	require.Equal(t, claim.Granted{}, ask(t, a, first), "the same request asks again")
	require.Equal(t, claim.Reused{}, ask(t, newKeeper(keys, "b"), claim.Claim{Key: "k", BodyHash: 8, Request: "r2"}))
	require.Equal(t, claim.Duplicate{}, ask(t, newKeeper(keys, "c"), claim.Claim{Key: "k", BodyHash: 7, Request: "r3"}))
	first.Status = 200
	ask(t, a, first)
	require.Equal(t, claim.Duplicate{Status: 200}, ask(t, newKeeper(keys, "d"), claim.Claim{Key: "k", BodyHash: 7, Request: "r4"}))
}

func TestAKeyWhoseRequestWasNeverSentIsFreeAgain(t *testing.T) {
	keys := standin.NewKV(time.Now)
	a := newKeeper(keys, "a")
	require.Equal(t, claim.Granted{}, ask(t, a, claim.Claim{Key: "k", Request: "r1"}))
	ask(t, a, claim.Claim{Key: "k", Request: "r1", Void: true})
	require.Equal(t, claim.Granted{}, ask(t, newKeeper(keys, "b"), claim.Claim{Key: "k", Request: "r2"}))
}

func TestClaimsFailWhileTheServiceIsDown(t *testing.T) {
	down := standin.NewLocalKV(standin.NewKV(time.Now), 1, 1, 0)
	k := claim.NewLogs(down, timer.NewReal(), metrics.New(), "a", 1)
	_, err := k.Submit(t.Context(), claim.Claim{Key: "k", Request: "r"})
	require.ErrorIs(t, err, claim.ErrUnavailable)
}
