package leader

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"junctioncross/catalog"
	"junctioncross/metrics"
	"junctioncross/placement"
)

// layoutKey names a domain of a model.
type layoutKey struct{ model, domain string }

// layoutLog logs the planned layouts and publishes them as gauges when they change.
type layoutLog struct {
	log   *logrus.Logger
	stats *metrics.Registry
	// last holds the layouts that were last logged.
	last map[layoutKey]placement.Layout
}

func newLayoutLog(log *logrus.Logger, stats *metrics.Registry) layoutLog {
	return layoutLog{log: log, stats: stats, last: map[layoutKey]placement.Layout{}}
}

// record logs and publishes those layouts of a model's domains that differ from the last ones.
func (r *layoutLog) record(engine *catalog.Engine, layouts map[string]placement.Layout) {
	for _, domain := range slices.Sorted(maps.Keys(layouts)) {
		key, l := layoutKey{model: engine.Model, domain: domain}, layouts[domain]
		if last, ok := r.last[key]; ok && last == l {
			continue
		}
		r.last[key] = l
		r.log.WithFields(logrus.Fields{
			"model": engine.Model, "of_domain": domain, "sequences": l.Sequences, "copies": l.Copies, "room": l.Room,
			"rate": l.Rate, "after_loss": l.AfterLoss, "default": l.Default,
		}).Info("layout planned")
		r.publish(key, l)
	}
}

// publish sets the gauges of one layout.
func (r *layoutLog) publish(key layoutKey, l placement.Layout) {
	const hundredths = 100
	labels := fmt.Sprintf("{model=%q,of_domain=%q}", key.model, key.domain)
	r.stats.Gauge("layout_sequences" + labels).Update(int64(l.Sequences))
	r.stats.Gauge("layout_room" + labels).Update(int64(l.Room))
	r.stats.Gauge("layout_copies_hundredths" + labels).Update(int64(math.Round(hundredths * l.Copies)))
	r.stats.Gauge("layout_rate" + labels).Update(int64(math.Round(l.Rate)))
	r.stats.Gauge("layout_rate_after_loss" + labels).Update(int64(math.Round(l.AfterLoss)))
}
