package forward

import (
	"fmt"
	"time"

	"junctioncross/backend"
)

// Measure updates the gauges that describe the Handler's view of the servers; it is called for each scrape.
func (h *Handler) Measure() {
	now := h.clock.Now()
	h.measureRetries()
	h.reviewAdmissions(h.fleetView.Current().Groups())
	h.measureFindings(now)
	for name, group := range h.fleetView.Current().Groups() {
		h.measureServers(name, group, now)
		if group.Graph() != nil {
			h.measureLanes(name, group, now)
			h.measureDemand(name, group, now)
		}
	}
}

// measureServers exports how many servers of a service are usable, how many are leaving, and how many are backed off.
func (h *Handler) measureServers(name string, group *backend.Group, now time.Time) {
	usable, leaving, backedOff := 0, 0, 0
	for _, s := range group.Servers() {
		if s.Usable(now) {
			usable++
		}
		if s.Leaving() {
			leaving++
		}
		if s.BackedOff(now) {
			backedOff++
		}
	}
	h.gauge("servers_usable", "service", name, int64(usable))
	h.gauge("servers_leaving", "service", name, int64(leaving))
	h.gauge("servers_backed_off", "service", name, int64(backedOff))
}

// measureLanes exports for how many sequences the lanes of a service have memory, and the age of the oldest memory report of a
// usable server. A report that is too old to be used counts with the greatest usable age, and so does a missing one.
func (h *Handler) measureLanes(name string, group *backend.Group, now time.Time) {
	own, others, crossing := h.sequences(h.lanesOf(group, now))
	h.gauge("own_domain_sequences", "service", name, int64(own))
	h.gauge("other_domains_sequences", "service", name, int64(others))
	h.gauge("crossing_sequences", "service", name, int64(crossing))
	oldest := time.Duration(0)
	for _, s := range group.Servers() {
		if s.Usable(now) {
			oldest = max(oldest, min(s.MemoryAge(now), maxReportAge))
		}
	}
	h.gauge("memory_word_age_ms", "service", name, oldest.Milliseconds())
}

func (h *Handler) gauge(name, label, labelValue string, value int64) {
	h.stats.Gauge(fmt.Sprintf("%s{%s=%q}", name, label, labelValue)).Update(value)
}
