package metrics

import (
	"fmt"
	"io"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"junctioncross/models"
)

const (
	prefix = "jx_"
	// sampleSize and sampleAlpha are the usual values of the library: the sample represents the last five minutes with 99%
	// confidence.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Registry holds the counters, gauges and histograms of one process.
type Registry struct {
	inner gometrics.Registry
}

// New returns an empty Registry.
func New() *Registry { return &Registry{inner: gometrics.NewRegistry()} }

// Counter returns the counter with that name (labels included, without the prefix jx_) and creates it if there is none.
func (r *Registry) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, r.inner)
}

// Gauge returns the gauge with that name and creates it if there is none.
func (r *Registry) Gauge(name string) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(name, r.inner)
}

// Histogram returns the histogram with that name and creates it if there is none; it keeps a sample of bounded size.
func (r *Registry) Histogram(name string) gometrics.Histogram {
	return r.inner.GetOrRegister(name, newHistogram).(gometrics.Histogram)
}

// newHistogram is passed to the registry as a function, which calls it only for a new name: the memory of a sample is large.
func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// Refused counts one refused request by its reason and fate.
func (r *Registry) Refused(reason models.Reason, fate models.Fate) {
	r.Counter(fmt.Sprintf("refusals_total{reason=%q,fate=%q}", reason, fate)).Inc(1)
}

// Retried counts one retried attempt by its reason.
func (r *Registry) Retried(reason models.Reason) {
	r.Counter(fmt.Sprintf("retries_total{reason=%q}", reason)).Inc(1)
}

// Write prints all metrics, sorted by name; it returns the error of the writer.
func (r *Registry) Write(w io.Writer) error {
	lines := make([]string, 0, 64)
	r.inner.Each(func(name string, metric any) {
		if value, ok := valueOf(metric); ok {
			lines = append(lines, fmt.Sprintf("%s%s %d\n", prefix, name, value))
		}
		if h, ok := metric.(gometrics.Histogram); ok {
			lines = append(lines, summary(name, h.Snapshot())...)
		}
	})
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

// quantiles are those that operators watch: median, slow and slowest requests.
var quantiles = []float64{0.5, 0.95, 0.99}

// summary returns the lines of one histogram.
func summary(name string, h gometrics.Histogram) []string {
	lines := make([]string, 0, len(quantiles)+2)
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s%s{quantile=\"%g\"} %g\n", prefix, name, quantiles[i], v))
	}
	return append(lines,
		fmt.Sprintf("%s%s_count %d\n", prefix, name, h.Count()), fmt.Sprintf("%s%s_sum %d\n", prefix, name, h.Sum()))
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
