package demo

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"junctioncross/fleet"
	"junctioncross/standin"
)

const (
	// terminatedEntryIndex is the index of the instance that entryTerminated stops, and killedEntryIndex that of the
	// instance that entryKilled kills after it. Neither is started again.
	terminatedEntryIndex = 1
	killedEntryIndex     = 2
)

// stageKilled kills an engine that runs a stage of an answer and checks that the answer is completed nevertheless. It then
// restarts the engine.
func stageKilled(ctx context.Context, f *fleet.Fleet) (string, error) {
	entry := f.Entries()[0]
	killed := ""
	var killErr error
	r, err := askCounter(ctx, f, entry.Callers, "a refund for the second bundle", 60, func(n int) {
		if n == 15 {
			killed, killErr = killBusyStage(f, entry.Domain)
		}
	})
	if killErr != nil {
		return "", killErr
	}
	if err != nil {
		return "", err
	}
	recovered, metricErr := fleet.Metric(entry.Health, "jx_recoveries_total")
	if metricErr != nil || recovered == 0 {
		return "", errors.Errorf("%s was killed, but the instance counted no recovery: %v", killed, metricErr)
	}
	longest := time.Duration(0)
	for _, g := range r.Gaps {
		longest = max(longest, g)
	}
	for _, e := range f.Engines() {
		if e.Name == killed {
			if err := f.StartEngine(e); err != nil {
				return "", err
			}
		}
	}
	return fmt.Sprintf("killed %s, %d tokens whole, longest gap %s", killed, r.Tokens, longest.Round(time.Millisecond)), nil
}

// killBusyStage kills an engine of the domain that holds cached state of a running request, and returns its name.
func killBusyStage(f *fleet.Fleet, domain string) (string, error) {
	for _, e := range f.Engines() {
		if e.Domain != domain {
			continue
		}
		t, err := fleet.EngineTally(e)
		if err == nil && t.Held > 0 {
			e.Process.Kill()
			return e.Name, nil
		}
	}
	return "", errors.New("no engine of the domain holds state of the answer")
}

// kvDown makes all calls to the key-value service fail and checks that every instance still answers.
func kvDown(ctx context.Context, f *fleet.Fleet) (string, error) {
	if err := fleet.Post(f.KVAddr(), "/faults", standin.KVFault{Down: true}); err != nil {
		return "", err
	}
	defer func() { _ = fleet.Post(f.KVAddr(), "/faults", standin.KVFault{}) }()
	time.Sleep(time.Second)
	for i, e := range f.Entries() {
		if _, err := askCounter(ctx, f, e.Callers, fmt.Sprintf("opening hours %d", i), 20, nil); err != nil {
			return "", errors.WithMessage(err, e.Name)
		}
	}
	return fmt.Sprintf("%d instances answered", len(f.Entries())), nil
}

// leavingBackend makes an engine leave under load and checks that it starts no attempt from 3 s to 5 s afterwards.
func leavingBackend(ctx context.Context, f *fleet.Fleet) (string, error) {
	e := f.Engines()[0]
	stop := make(chan struct{})
	result := make(chan error, 1)
	go func() { result <- keepRequesting(ctx, f, e.Domain, stop) }()
	time.Sleep(500 * time.Millisecond)
	before, err := fleet.EngineTally(e)
	if err != nil {
		return "", err
	}
	if err := fleet.SetEngineFault(e, standin.EngineFault{Leaving: true}); err != nil {
		return "", err
	}
	defer func() { _ = fleet.SetEngineFault(e, standin.EngineFault{}) }()
	time.Sleep(3 * time.Second)
	early, err := fleet.EngineTally(e)
	if err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	late, err := fleet.EngineTally(e)
	if err != nil {
		return "", err
	}
	close(stop)
	if err := <-result; err != nil {
		return "", err
	}
	if len(before.Requests) == 0 {
		return "", errors.New("the engine had no work before it left")
	}
	if n := late.NewSinceLeaving - early.NewSinceLeaving; n > 0 {
		return "", errors.Errorf("%d attempts started from 3 s to 5 s after leaving", n)
	}
	return fmt.Sprintf("%d requests before, %d within 3 s, 0 after", len(before.Requests), early.NewSinceLeaving), nil
}

// keepRequesting sends requests to the instances of a domain in turn until stop is closed. It returns an error as soon as an
// answer is wrong or missing.
func keepRequesting(ctx context.Context, f *fleet.Fleet, domain string, stop <-chan struct{}) error {
	for n := 0; ; n++ {
		for _, e := range f.Entries() {
			if e.Domain != domain {
				continue
			}
			if _, err := askCounter(ctx, f, e.Callers, fmt.Sprintf("question %d", n), 8, nil); err != nil {
				return err
			}
		}
		select {
		case <-stop:
			return nil
		default:
		}
	}
}

// entryTerminated sends SIGTERM to an instance in the middle of an answer and checks that it completes the answer and then
// exits.
func entryTerminated(ctx context.Context, f *fleet.Fleet) (string, error) {
	e := f.Entries()[terminatedEntryIndex]
	r, err := askCounter(ctx, f, e.Callers, "a long story about loadouts", 120, func(n int) {
		if n == 10 {
			_ = e.Process.Signal(syscall.SIGTERM)
		}
	})
	if err != nil {
		return "", err
	}
	select {
	case <-e.Process.Done():
	case <-ctx.Done():
		return "", errors.New("the instance did not stop")
	}
	return fmt.Sprintf("%d tokens whole, the instance stopped", r.Tokens), nil
}

// entryKilled kills an instance and checks that all others except the terminated one still answer.
func entryKilled(ctx context.Context, f *fleet.Fleet) (string, error) {
	f.Entries()[killedEntryIndex].Process.Kill()
	asked := 0
	for i, e := range f.Entries() {
		if i == terminatedEntryIndex || i == killedEntryIndex {
			continue
		}
		if _, err := askCounter(ctx, f, e.Callers, "are you there", 12, nil); err != nil {
			return "", errors.WithMessage(err, e.Name)
		}
		asked++
	}
	return fmt.Sprintf("%d other instances answered", asked), nil
}
