package metrics

import (
	"fmt"
	"io"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"junctioncross/models"
)

const prefix = "jx_"

// Registry holds the counters, gauges and timings of one process.
type Registry struct {
	inner gometrics.Registry
}

// New returns an empty Registry.
func New() *Registry { return &Registry{inner: gometrics.NewRegistry()} }

// Counter returns the counter of that name and creates it when there is none.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.inner)
}

// Gauge returns the gauge of that name and creates it when there is none.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.inner)
}

// Refused counts one refusal with its reason and fate.
func (r *Registry) Refused(reason models.Reason, fate models.Fate) {
	r.Counter(fmt.Sprintf("refusals_total{reason=%q,fate=%q}", reason, fate)).Inc(1)
}

// Retried counts one retried attempt with its reason.
func (r *Registry) Retried(reason models.Reason) {
	r.Counter(fmt.Sprintf("retries_total{reason=%q}", reason)).Inc(1)
}

// Write prints every metric, sorted by name; it returns the writer's error.
func (r *Registry) Write(w io.Writer) error {
	lines := make([]string, 0, 64)
	r.inner.Each(func(name string, metric any) {
		if value, ok := valueOf(metric); ok {
			lines = append(lines, fmt.Sprintf("%s%s %d\n", prefix, name, value))
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

func valueOf(metric any) (int64, bool) {
	switch m := metric.(type) {
	case gometrics.Counter:
		return m.Count(), true
	case gometrics.Gauge:
		return m.Value(), true
	default:
		return 0, false
	}
}
