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

// checkTimeout is the timeout of one check.
const checkTimeout = 20 * time.Second

// check tests one guaranteed property. run returns a description of what it observed, or an error if the property does not
// hold.
type check struct {
	name string
	run  func(ctx context.Context, f *fleet.Fleet) (string, error)
}

// checks are run in this order, in which each one leaves the fleet in a state that the next one can use.
var checks = []check{
	{"answer_equals_computed", answerEqualsComputed},
	{"stock_client", stockClient},
	{"model_refused_not_run", modelRefusedNotRun},
	{"confirm_in_force_everywhere", confirmInForceEverywhere},
	{"conflicting_confirms", conflictingConfirms},
	{"stage_killed", stageKilled},
	{"payment_once", paymentOnce},
	{"kv_down", kvDown},
	{"leaving_backend", leavingBackend},
	{"entry_sigterm", entryTerminated},
	{"entry_sigkill", entryKilled},
}

// Run starts the default fleet, prints one line for each check and reports whether all passed. It returns an error
// if the fleet does not start.
func Run(bin string, out io.Writer) (bool, error) {
	f, err := fleet.Start(fleet.DefaultSpec(), bin)
	if err != nil {
		return false, err
	}
	defer f.Stop()
	allOK := true
	for _, c := range checks {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		detail, err := c.run(ctx, f)
		cancel()
		result := "ok"
		if err != nil {
			result, detail, allOK = "FAIL", err.Error(), false
		}
		fmt.Fprintf(out, "check %s %s %s\n", c.name, result, detail)
	}
	return allOK, nil
}

// expectedAnswer computes the answer of a model without the fleet.
func expectedAnswer(m intent.Model, prompt string, limit int) string {
	text, _, _ := standin.NewModel(m.Name, m.Version, m.Layers).Answer(load.PromptText(prompt), limit)
	return text
}

// modelOf returns the model of that name from the fleet's specification, or the zero Model if there is none.
func modelOf(f *fleet.Fleet, name string) intent.Model {
	for _, m := range f.Spec().Models {
		if m.Name == name {
			return m
		}
	}
	return intent.Model{}
}

// askCounter sends a request for the model of the account counter to an instance. It returns an error unless the answer is
// complete and as expected.
func askCounter(ctx context.Context, f *fleet.Fleet, addr, prompt string, limit int, onToken func(int)) (*load.Response, error) {
	r, err := load.NewClient().Stream(ctx, load.Request{
		Addr: addr, Key: fleet.KeyCounter, Model: fleet.ModelCounter, Prompt: prompt, MaxTokens: limit, OnToken: onToken,
	})
	if err != nil {
		return r, err
	}
	if r.Status != 200 || !r.Complete() {
		return r, errors.Errorf("status %d reason %q after %d tokens", r.Status, r.Reason, r.Tokens)
	}
	if want := expectedAnswer(modelOf(f, fleet.ModelCounter), prompt, limit); r.Text != want {
		return r, errors.Errorf("the answer differs from the computed one after %d tokens", r.Tokens)
	}
	return r, nil
}
