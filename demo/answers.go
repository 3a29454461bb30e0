package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/pkg/errors"

	"junctioncross/fleet"
	"junctioncross/load"
	"junctioncross/models"
)

// answerEqualsComputed checks that the answer of a model that is split over several engines equals the computed one.
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
		return "", errors.Errorf("the model is split into %d segment", len(stages))
	}
	return fmt.Sprintf("%d tokens through %d segments", r.Tokens, len(stages)), nil
}

// stagesOf returns the engines of a domain that hold layers of a model, by their first layer.
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

// stockClient checks that an unmodified OpenAI client reads a streamed answer and the code of an error.
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
	if want := expectedAnswer(modelOf(f, fleet.ModelQuotes), prompt, 24); text.String() != want {
		return "", errors.New("the stock client's answer differs from the computed one")
	}
	_, err := client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model: "no-such-model", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	})
	var apiError *openai.Error
	if !errors.As(err, &apiError) || apiError.StatusCode != http.StatusNotFound || apiError.Code != string(models.ReasonUnknownModel) {
		return "", errors.Errorf("unexpected error: %v", err)
	}
	return "streamed and read error code " + apiError.Code, nil
}

// modelRefusedNotRun checks that a request for a model that the account may not use is refused as not run.
func modelRefusedNotRun(ctx context.Context, f *fleet.Fleet) (string, error) {
	r, err := load.NewClient().Stream(ctx, load.Request{
		Addr: f.Entries()[2].Callers, Key: fleet.KeyCounter, Model: fleet.ModelQuotes, Prompt: "not mine", MaxTokens: 4,
	})
	if err != nil {
		return "", err
	}
	if r.Status != http.StatusForbidden || r.Fate != models.FateNotRun || r.Reason != models.ReasonModelNotAllowed {
		return "", errors.Errorf("status %d fate %q reason %q", r.Status, r.Fate, r.Reason)
	}
	return "status 403, not_run", nil
}
