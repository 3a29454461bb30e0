package overload

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"junctioncross/metrics"
)

// gauges show the load of the instance, in per cent and milliseconds.
type gauges struct{ processor, link, memory, wait, taken, delay gometrics.Gauge }

func newGauges(stats *metrics.Registry) gauges {
	load := func(resource string) gometrics.Gauge {
		return stats.Gauge("own_load_percent{resource=\"" + resource + "\"}")
	}
	return gauges{
		processor: load("processor"), link: load("link"), memory: load("memory"), wait: load("delay"),
		taken: stats.Gauge("connections_taken_percent"), delay: stats.Gauge("own_delay_ms"),
	}
}

// update shows the pressure, the share of new connections that is taken, and the delay of the process.
func (g *gauges) update(p Pressure, share float64, delay time.Duration) {
	g.processor.Update(percent(p.Processor))
	g.link.Update(percent(p.Link))
	g.memory.Update(percent(p.Memory))
	g.wait.Update(percent(p.Delay))
	g.taken.Update(percent(share))
	g.delay.Update(delay.Milliseconds())
}

func percent(share float64) int64 { return int64(100 * share) }
