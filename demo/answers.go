package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/pkg/errors"

	"junctioncross/fleet"
	"junctioncross/load"
	"junctioncross/models"
	"junctioncross/standin"
)

func answerEqualsComputed(ctx context.Context, f *fleet.Fleet) (string, error) {
	const prompt = "which bundle holds the winter loadout"
	r, err := askCounter(ctx, f, f.Entries()[0].Callers, prompt, 40, nil)
	if err != nil {
		return "", err
	}
	stages, err := stagesOf(f, f.Entries()[0].Domain, fleet.ModelCounter)
	if err != nil {
		return "", err
	}
	if len(stages) < 2 {
		return "", errors.Errorf("the model stands in %d segment", len(stages))
	}
	return fmt.Sprintf("%d tokens through %d segments", r.Pieces, len(stages)), nil
}

// stagesOf returns the engines of a domain that hold a model, by the layer at which they begin.
func stagesOf(f *fleet.Fleet, domain, model string) (map[int][]*fleet.Engine, error) {
	out := map[int][]*fleet.Engine{}
	for _, e := range f.Engines() {
		if e.Domain != domain {
			continue
		}
		r, err := fleet.EngineReport(e.Addr)
		if err != nil {
			return nil, err
		}
		if r.Model == model {
			out[r.Layers.First] = append(out[r.Layers.First], e)
		}
	}
	return out, nil
}

func stockClient(ctx context.Context, f *fleet.Fleet) (string, error) {
	client := openai.NewClient(
		option.WithBaseURL("http://"+f.Entries()[1].Callers+"/v1"), option.WithAPIKey(fleet.KeyQuotes), option.WithMaxRetries(0),
	)
	const prompt = "rail quote from Erdenet to Zamyn-Uud"
	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model: fleet.ModelQuotes, MaxTokens: openai.Int(24),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	})
	var text strings.Builder
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		return "", err
	}
	if want := expected(modelOf(f, fleet.ModelQuotes), prompt, 24); text.String() != want {
		return "", errors.New("the stock client's answer differs from the computed one")
	}
	_, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model: "no-such-model", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	})
	var apiError *openai.Error
	if !errors.As(err, &apiError) || apiError.StatusCode != http.StatusNotFound || apiError.Code != string(models.ReasonUnknownModel) {
		return "", errors.Errorf("error read as %v", err)
	}
	return "streamed and read error code " + apiError.Code, nil
}

func modelRefused(ctx context.Context, f *fleet.Fleet) (string, error) {
	r, err := load.NewClient().Stream(ctx, load.Ask{
		Addr: f.Entries()[2].Callers, Key: fleet.KeyCounter, Model: fleet.ModelQuotes, Prompt: "not mine", Limit: 4,
	})
	if err != nil {
		return "", err
	}
	if r.Status != http.StatusForbidden || r.Fate != models.FateNotRun || r.Reason != models.ReasonModelNotAllowed {
		return "", errors.Errorf("status %d fate %q reason %q", r.Status, r.Fate, r.Reason)
	}
	return "status 403, not_run", nil
}

// stageKilled kills the process of a stage while it works on an answer.
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
		return "", errors.Errorf("%s was killed, but the answer did not recover from anything: %v", killed, metricErr)
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
	return fmt.Sprintf("killed %s, %d tokens whole, longest gap %s", killed, r.Pieces, longest.Round(time.Millisecond)), nil
}

// killBusyStage kills an engine that holds a part of an answer under way.
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
	return "", errors.New("no engine of the domain holds a part of the answer")
}

// kvDown makes the key-value service fail and asks every instance for an answer.
func kvDown(ctx context.Context, f *fleet.Fleet) (string, error) {
	if err := fleet.Post(f.KVAddr(), "/faults", standin.Faults{Down: true}); err != nil {
		return "", err
	}
	defer func() { _ = fleet.Post(f.KVAddr(), "/faults", standin.Faults{}) }()
	time.Sleep(time.Second)
	for i, e := range f.Entries() {
		if _, err := askCounter(ctx, f, e.Callers, fmt.Sprintf("opening hours %d", i), 20, nil); err != nil {
			return "", errors.WithMessage(err, e.Name)
		}
	}
	return fmt.Sprintf("%d instances answered", len(f.Entries())), nil
}

// leavingBackend makes an engine leave while load flows and counts what it starts from 3 s on.
func leavingBackend(ctx context.Context, f *fleet.Fleet) (string, error) {
	e := f.Engines()[0]
	stop := make(chan struct{})
	result := make(chan error, 1)
	go func() { result <- keepAsking(ctx, f, e.Domain, stop) }()
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

// keepAsking sends requests to the instances of a domain until stop is closed, and checks every answer.
func keepAsking(ctx context.Context, f *fleet.Fleet, domain string, stop <-chan struct{}) error {
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

// entryTerminated stops an instance with SIGTERM in the middle of an answer.
func entryTerminated(ctx context.Context, f *fleet.Fleet) (string, error) {
	e := f.Entries()[1]
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
	return fmt.Sprintf("%d tokens whole, the instance stopped", r.Pieces), nil
}

// entryKilled kills an instance and asks the others.
func entryKilled(ctx context.Context, f *fleet.Fleet) (string, error) {
	f.Entries()[2].Process.Kill()
	asked := 0
	for _, e := range f.Entries() {
		if e == f.Entries()[1] || e == f.Entries()[2] {
			continue
		}
		if _, err := askCounter(ctx, f, e.Callers, "are you there", 12, nil); err != nil {
			return "", errors.WithMessage(err, e.Name)
		}
		asked++
	}
	return fmt.Sprintf("%d other instances answered", asked), nil
}
