package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// manyInstances is the number of instances of the largest domain.
const manyInstances = 985

func fullBook() *Book {
	b := NewBook("east")
	for i := range manyInstances {
		b.AddReports(fmt.Sprint("i-", i), []Report{reportOf(9, 1, 300)}, 0, start)
	}
	return b
}

func TestTotalsAllocateNothingWhileReportsAreUnchanged(t *testing.T) {
	b, now := fullBook(), start.Add(time.Second)
	b.Totals("chat", "east", now)
	require.Zero(t, testing.AllocsPerRun(100, func() { b.Totals("chat", "east", now) }))
}

func BenchmarkTotals(b *testing.B) {
	book, now := fullBook(), start.Add(time.Second)
	book.Totals("chat", "east", now)
	b.ReportAllocs()
	for b.Loop() {
		book.Totals("chat", "east", now)
	}
}

// BenchmarkTotalsWhileReportsArrive adds a report and asks for the totals once each millisecond of the domain.
func BenchmarkTotalsWhileReportsArrive(b *testing.B) {
	book, now, reports := fullBook(), start.Add(time.Second), []Report{reportOf(9, 1, 300)}
	names := make([]string, manyInstances)
	for i := range names {
		names[i] = fmt.Sprint("i-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		book.AddReports(names[i%manyInstances], reports, 0, now)
		book.Totals("chat", "east", now)
	}
}
