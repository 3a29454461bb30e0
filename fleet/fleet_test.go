package fleet_test

import (
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/fleet"
)

const patience = 40 * time.Second

// start runs a fleet with the programs that the Makefile has built.
func start(t *testing.T, spec fleet.Spec) *fleet.Fleet {
	bin := os.Getenv("JX_BIN")
	if bin == "" {
		t.Skip("JX_BIN names no programs; make test sets it")
	}
	f, err := fleet.Start(spec, bin)
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	return f
}

// small is a fleet of one domain.
func small(entries int, engines ...string) fleet.Spec {
	spec := fleet.Users()
	spec.Domains = []string{"d"}
	spec.Entries = []int{entries}
	spec.Engines = engines
	spec.ListLag = 0
	return spec
}

// TestInstancesThatStartApartMeet starts many instances at once, which first find each other in several groups.
func TestInstancesThatStartApartMeet(t *testing.T) {
	const count = 10
	f := start(t, small(count))
	require.NoError(t, fleet.Eventually(patience, func() error {
		for _, e := range f.Entries() {
			live, err := fleet.Metric(e.Health, "jx_members_live")
			if err != nil {
				return err
			}
			if live != count {
				return errors.Errorf("%s counts on %d instances", e.Name, live)
			}
		}
		return nil
	}))
}
