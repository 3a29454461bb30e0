package metrics_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/metrics"
)

func TestAHistogramKeepsItsValuesAndIsCreatedOnce(t *testing.T) {
	stats := metrics.New()
	for v := range int64(4) {
		stats.Histogram("wait_ms").Update(v)
	}
	var out strings.Builder
	require.NoError(t, stats.Write(&out))
	require.Contains(t, out.String(), "jx_wait_ms_count 4\n")
	require.Contains(t, out.String(), "jx_wait_ms_sum 6\n")
	require.Zero(t, testing.AllocsPerRun(100, func() { stats.Histogram("wait_ms") }), "no sample is allocated for an existing name")
}
