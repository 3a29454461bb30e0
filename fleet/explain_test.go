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

// tell returns what jxctl tells from the logs of the instances alone.
func tell(f *fleet.Fleet, command, name string) string {
	args := []string{command, name}
	for _, e := range f.Entries() {
		args = append(args, filepath.Join(f.Dir(), e.Name+".log"))
	}
	out, _ := exec.Command(filepath.Join(os.Getenv("JX_BIN"), "jxctl"), args...).CombinedOutput()
	return string(out)
}

// requireTold waits until the logs tell something; lines are written some time after they were made.
func requireTold(t *testing.T, f *fleet.Fleet, command, name, want string) {
	require.NoError(t, fleet.Eventually(patience, func() error {
		if got := tell(f, command, name); !strings.Contains(got, want) {
			return errors.Errorf("jxctl %s %s tells no %q: %s", command, name, want, got)
		}
		return nil
	}))
}

func TestTheCausesOfTodaysInterfaceAreInTheLogs(t *testing.T) {
	spec := small(2, "a", "b")
	spec.Models, spec.Groups, spec.Accounts = spec.Models[:1], spec.Groups[:1], spec.Accounts[:1]
	f := start(t, spec)
	entry := f.Entries()[0]
	whole := ask(t, f, entry, "whole", nil)
	requireTold(t, f, "why", whole.RequestID, "cause: none: the answer was passed on whole after ")
	requireTold(t, f, "timeline", entry.Name, "configuration in force revision=")

	broken := askAnything(t, f, func(n int) {
		if n == 3 {
			for _, e := range f.Engines() {
				e.Process.Kill()
			}
		}
	})
	require.Equal(t, 200, broken.Status)
	require.NotEmpty(t, broken.Reason)
	requireTold(t, f, "why", broken.RequestID, "tokens and could not be continued: "+string(broken.Reason))
	requireTold(t, f, "why", broken.RequestID, "; on the way: ")

	refused := &load.Reply{}
	require.NoError(t, fleet.Eventually(patience, func() error {
		if refused = askAnything(t, f, nil); refused.Reason != models.ReasonNoPipeline {
			return errors.Errorf("status %d, reason %s", refused.Status, refused.Reason)
		}
		return nil
	}))
	require.Equal(t, models.FateNotRun, refused.Fate)
	requireTold(t, f, "why", refused.RequestID, "cause: it has not run: no path of usable servers held every layer of the model (configuration ")
}

// askAnything sends a request to the first instance and returns what came of it.
func askAnything(t *testing.T, f *fleet.Fleet, onToken func(int)) *load.Reply {
	r, err := load.NewClient().Stream(t.Context(), load.Ask{
		Addr: f.Entries()[0].Callers, Key: fleet.KeyCounter, Model: f.Spec().Models[0].Name, Prompt: "anything", Limit: 30, OnToken: onToken,
	})
	require.NoError(t, err)
	return r
}
