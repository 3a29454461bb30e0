package fleet_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/fleet"
	"junctioncross/load"
	"junctioncross/models"
)

// explain returns the output of a jxctl command that reads only the logs of the instances.
func explain(f *fleet.Fleet, command, name string) string {
	args := []string{command, name}
	for _, e := range f.Entries() {
		args = append(args, filepath.Join(f.Dir(), e.Name+".log"))
	}
	out, _ := exec.Command(filepath.Join(os.Getenv("JX_BIN"), "jxctl"), args...).CombinedOutput()
	return string(out)
}

// requireExplained waits until the output of a jxctl command contains a text; log lines are written with a delay.
func requireExplained(t *testing.T, f *fleet.Fleet, command, name, want string) {
	require.NoError(t, fleet.Eventually(testTimeout, func() error {
		if got := explain(f, command, name); !strings.Contains(got, want) {
			return errors.Errorf("jxctl %s %s does not say %q: %s", command, name, want, got)
		}
		return nil
	}))
}

// TestLogsExplainWhatBecameOfARequest checks what jxctl says of a complete, a broken and a refused answer.
func TestLogsExplainWhatBecameOfARequest(t *testing.T) {
	spec := smallSpec(2, "a", "b")
	spec.Models, spec.Groups, spec.Accounts = spec.Models[:1], spec.Groups[:1], spec.Accounts[:1]
	f := startFleet(t, spec)
	entry := f.Entries()[0]
	whole := sendChecked(t, f, entry, "whole", nil)
	requireExplained(t, f, "why", whole.RequestID, "cause: none: the answer was passed on whole after ")
	requireExplained(t, f, "timeline", entry.Name, "configuration in force revision=")

	broken := send(t, f, func(n int) {
		if n == 3 {
			for _, e := range f.Engines() {
				e.Process.Kill()
			}
		}
	})
	require.Equal(t, 200, broken.Status)
	require.NotEmpty(t, broken.Reason)
	requireExplained(t, f, "why", broken.RequestID, "tokens and could not be continued: "+string(broken.Reason))
	requireExplained(t, f, "why", broken.RequestID, "; on the way: ")

	refused := &load.Response{}
	require.NoError(t, fleet.Eventually(testTimeout, func() error {
		if refused = send(t, f, nil); refused.Reason != models.ReasonNoPipeline {
			return errors.Errorf("status %d, reason %s", refused.Status, refused.Reason)
		}
		return nil
	}))
	require.Equal(t, models.FateNotRun, refused.Fate)
	requireExplained(t, f, "why", refused.RequestID, "cause: it has not run: no path of usable servers held every layer of the model (configuration ")
}

// send sends a request to the first instance and returns its reply, whatever it is.
func send(t *testing.T, f *fleet.Fleet, onToken func(int)) *load.Response {
	r, err := load.NewClient().Stream(t.Context(), load.Request{
		Addr: f.Entries()[0].Callers, Key: fleet.KeyCounter, Model: f.Spec().Models[0].Name, Prompt: "anything", MaxTokens: 30, OnToken: onToken,
	})
	require.NoError(t, err)
	return r
}
