package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"junctioncross/fleet"
	"junctioncross/intent"
	"junctioncross/load"
	"junctioncross/standin"
)

const checkLimit = 20 * time.Second

// check is one promise; run returns what was seen, or the error that shows that the promise does not hold.
type check struct {
	name string
	run  func(ctx context.Context, f *fleet.Fleet) (string, error)
}

// checks are in an order in which each leaves the fleet fit for the next.
var checks = []check{
	{"answer_equals_computed", answerEqualsComputed},
	{"stock_client", stockClient},
	{"model_refused_not_run", modelRefused},
	{"confirm_in_force_everywhere", confirmEverywhere},
	{"conflicting_confirms", conflictingConfirms},
	{"stage_killed", stageKilled},
	{"payment_once", paymentOnce},
	{"kv_down", kvDown},
	{"leaving_backend", leavingBackend},
	{"entry_sigterm", entryTerminated},
	{"entry_sigkill", entryKilled},
}

// Run starts the users' fleet, prints one line for each check and reports whether all were ok.
func Run(bin string, out io.Writer) (bool, error) {
	f, err := fleet.Start(fleet.DefaultSpec(), bin)
	if err != nil {
		return false, err
	}
	defer f.Stop()
	all := true
	for _, c := range checks {
		ctx, cancel := context.WithTimeout(context.Background(), checkLimit)
		detail, err := c.run(ctx, f)
		cancel()
		result := "ok"
		if err != nil {
			result, detail, all = "FAIL", err.Error(), false
		}
		fmt.Fprintf(out, "check %s %s %s\n", c.name, result, detail)
	}
	return all, nil
}

// expected computes an answer apart from the system.
func expected(m intent.Model, prompt string, limit int) string {
	text, _, _ := standin.NewModel(m.Name, m.Version, m.Layers).Answer(load.PromptText(prompt), limit)
	return text
}

func modelOf(f *fleet.Fleet, name string) intent.Model {
	for _, m := range f.Spec().Models {
		if m.Name == name {
			return m
		}
	}
	return intent.Model{}
}

// askCounter asks an instance for an answer of the counter's model and compares it with the expected one.
func askCounter(ctx context.Context, f *fleet.Fleet, addr, prompt string, limit int, onToken func(int)) (*load.Reply, error) {
	r, err := load.NewClient().Stream(ctx, load.Ask{
		Addr: addr, Key: fleet.KeyCounter, Model: fleet.ModelCounter, Prompt: prompt, Limit: limit, OnToken: onToken,
	})
	if err != nil {
		return r, err
	}
	if r.Status != 200 || !r.Whole() {
		return r, errors.Errorf("status %d reason %q after %d tokens", r.Status, r.Reason, r.Pieces)
	}
	if want := expected(modelOf(f, fleet.ModelCounter), prompt, limit); r.Text != want {
		return r, errors.Errorf("the answer differs from the computed one after %d tokens", r.Pieces)
	}
	return r, nil
}
