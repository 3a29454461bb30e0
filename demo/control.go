package demo

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/fleet"
	"junctioncross/models"
	"junctioncross/operator"
	"junctioncross/revision"
)

// inForceTimeout is the time in which a confirmed revision must be in force on every instance.
const inForceTimeout = 4 * time.Second

// confirmInForceEverywhere checks that a confirmed change comes into force on every instance.
func confirmInForceEverywhere(_ context.Context, f *fleet.Fleet) (string, error) {
	entry, err := f.Apply("the counter's season", fleet.ShareChange("counter", 2))
	if err != nil {
		return "", err
	}
	start := time.Now()
	if err := awaitRevision(f, entry.Revision); err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d on %d instances within %s of the confirmation", entry.Revision, len(f.Entries()), time.Since(start).Round(time.Millisecond)), nil
}

// awaitRevision waits until every instance reports in its own metrics that it has at least the wanted revision.
func awaitRevision(f *fleet.Fleet, want revision.Number) error {
	return fleet.Eventually(inForceTimeout, func() error {
		for _, e := range f.Entries() {
			have, err := fleet.Metric(e.Health, "jx_revision")
			if err != nil {
				return err
			}
			if have < int64(want) {
				return errors.Errorf("%s has revision %d, want %d", e.Name, have, want)
			}
		}
		return nil
	})
}

// conflictingConfirms confirms two conflicting plans at the same time on different instances. It checks that one is
// accepted, and that the refusal of the other lists the changes made meanwhile.
func conflictingConfirms(_ context.Context, f *fleet.Fleet) (string, error) {
	plans := make([]revision.Plan, 2)
	for i := range plans {
		var err error
		if plans[i], err = f.Propose("a rival", fleet.ShareChange("quotes", float64(3+i))); err != nil {
			return "", err
		}
	}
	outcomes := make([]error, len(plans))
	var both sync.WaitGroup
	for i := range plans {
		both.Go(func() {
			client, err := f.Operator(f.Entries()[i*3])
			if err != nil {
				outcomes[i] = err
				return
			}
			_, outcomes[i] = client.Confirm(plans[i].ID)
		})
	}
	both.Wait()
	accepted := 0
	reported := false
	for _, err := range outcomes {
		var refused *operator.FailureError
		switch {
		case err == nil:
			accepted++
		case errors.As(err, &refused):
			reported = len(refused.Failure().Meantime) > 0
		default:
			return "", err
		}
	}
	if accepted != 1 || !reported {
		return "", errors.Errorf("%d accepted, changes listed in the refusal: %v", accepted, reported)
	}
	return "one accepted, the other told what changed meanwhile", nil
}

// paymentOnce sends one payment with one idempotency key to two instances at the same time, then to a third one. It checks
// that the payment runs exactly once.
func paymentOnce(ctx context.Context, f *fleet.Fleet) (string, error) {
	const key = "demo-payment-1"
	statuses := make([]int, 2)
	fates := make([]string, 2)
	var both sync.WaitGroup
	for i := range statuses {
		both.Go(func() { statuses[i], fates[i] = pay(ctx, f.Entries()[i*3].Callers, key) })
	}
	both.Wait()
	repeatStatus, repeatFate := pay(ctx, f.Entries()[6].Callers, key)
	runs, err := timesRun(f, key)
	if err != nil {
		return "", err
	}
	oks := 0
	for i, s := range statuses {
		if s == http.StatusOK {
			oks++
			continue
		}
		if s != http.StatusConflict || fates[i] == string(models.FateNotRun) {
			return "", errors.Errorf("the refused payment got status %d fate %q", s, fates[i])
		}
	}
	if runs != 1 || oks != 1 || repeatStatus != http.StatusConflict {
		return "", errors.Errorf("run %d times, %d accepted, the repeat got %d %s", runs, oks, repeatStatus, repeatFate)
	}
	return fmt.Sprintf("run once; the repeat was told %d %s", repeatStatus, repeatFate), nil
}

// pay sends the payment to an instance and returns the HTTP status and the fate, or status 0 and the error text if there is
// no response.
func pay(ctx context.Context, addr, key string) (status int, fate string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/services/bookings/confirm", bytes.NewReader([]byte(`{"pay":7}`)))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+fleet.KeyCounter)
	req.Header.Set(models.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(models.HeaderFate)
}

// timesRun returns how many times all processes of the plain services together ran the request with that idempotency key.
func timesRun(f *fleet.Fleet, key string) (int, error) {
	total := 0
	for _, s := range f.Services() {
		counts, err := fleet.Get[map[string]int](s.Addr, "/test/tally")
		if err != nil {
			return 0, err
		}
		total += counts[key]
	}
	return total, nil
}
