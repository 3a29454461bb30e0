package bench

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// Printer writes figures as lines "figure NAME VALUE UNIT", which package capacity reads.
type Printer struct {
	out io.Writer
}

// NewPrinter returns a Printer that writes to out.
func NewPrinter(out io.Writer) *Printer { return &Printer{out: out} }

// Figure prints one measured value with its unit.
func (p *Printer) Figure(name string, value float64, unit string) {
	fmt.Fprintf(p.out, "figure %s %.4g %s\n", name, value, unit)
}

// Durations prints the median, the 99th percentile and the maximum, in milliseconds.
func (p *Printer) Durations(name string, all []time.Duration) {
	p.Figure(name+"_p50", millis(quantile(all, 0.5)), "ms")
	p.Figure(name+"_p99", millis(quantile(all, 0.99)), "ms")
	p.Figure(name+"_max", millis(quantile(all, 1)), "ms")
}

// Note prints a line for the reader, which package capacity ignores.
func (p *Printer) Note(format string, args ...any) {
	fmt.Fprintf(p.out, "note "+format+"\n", args...)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns the q-quantile of the durations, with q from 0 to 1, or zero if there are none.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), all...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
