package follow

import (
	"time"

	"junctioncross/backend"
)

// sharingWindow is how long after the last shared report the instances count as sharing reports; normally some come
// every half second.
const sharingWindow = 2 * time.Second

// OwnReports returns the reports on servers that this instance obtained itself after a moment; a server that did not
// answer counts too.
func (b *FleetView) OwnReports(after, now time.Time) []backend.SharedReport {
	return b.reports(after, now, true)
}

// Reports returns the reports on servers that this instance obtained itself or received from other instances after a
// moment.
func (b *FleetView) Reports(after, now time.Time) []backend.SharedReport {
	return b.reports(after, now, false)
}

func (b *FleetView) reports(after, now time.Time, ownOnly bool) []backend.SharedReport {
	var out []backend.SharedReport
	for _, group := range b.Current().Groups() {
		for _, s := range group.Servers() {
			if w, ok := s.SharedReport(after, now, ownOnly); ok {
				out = append(out, w)
			}
		}
	}
	return out
}

// ApplySharedReports applies reports that other instances share, and returns whether they show that a server has become
// silent or slow.
func (b *FleetView) ApplySharedReports(reports []backend.SharedReport, now time.Time) bool {
	if len(reports) == 0 {
		return false
	}
	b.lastShared.Store(&now)
	worse := false
	for _, w := range reports {
		// A report on another incarnation of the server does not apply to this one.
		if s := b.Current().server(w.ID); s != nil && s.Incarnation().Born == w.Born {
			worse = s.ApplySharedReport(w, now) || worse
		}
	}
	return worse
}

// ReportsShared reports whether instances share their reports on servers at present.
func (b *FleetView) ReportsShared(now time.Time) bool {
	return now.Sub(*b.lastShared.Load()) < sharingWindow
}
