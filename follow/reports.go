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
func (v *FleetView) OwnReports(after, now time.Time) []backend.SharedReport {
	return v.reports(after, now, true)
}

// Reports returns the reports on servers that this instance obtained itself or received from other instances after a
// moment.
func (v *FleetView) Reports(after, now time.Time) []backend.SharedReport {
	return v.reports(after, now, false)
}

func (v *FleetView) reports(after, now time.Time, ownOnly bool) []backend.SharedReport {
	var out []backend.SharedReport
	for _, group := range v.Current().Groups() {
		for _, s := range group.Servers() {
			if r, ok := s.SharedReport(after, now, ownOnly); ok {
				out = append(out, r)
			}
		}
	}
	return v.withFindings(out, after, now, ownOnly)
}

// ApplySharedReports applies reports that other instances share, and returns whether they show that a server has become
// silent or slow, or hold a finding that takes a server out of use.
func (v *FleetView) ApplySharedReports(reports []backend.SharedReport, now time.Time) bool {
	if len(reports) == 0 {
		return false
	}
	v.lastShared.Store(&now)
	worse := false
	var found []backend.Finding
	for _, r := range reports {
		found = append(found, r.Findings...)
		if r.ID == "" && len(r.Findings) == 0 {
			v.noteReportFault(r.ID, backend.FieldFault{Name: "record"})
			continue
		}
		// A report on another incarnation of the server does not apply to this one.
		if s := v.Current().server(r.ID); s != nil && s.Incarnation().Born == r.Born {
			v.noteReportFault(r.ID, r.Fault())
			worse = s.ApplySharedReport(r, now) || worse
		}
	}
	return v.applyFindings(found, now) || worse
}

// ObserveReportFaults sets the function that is called with a server and the field because of which a shared report on it is not used.
func (v *FleetView) ObserveReportFaults(observe func(server string, fault backend.FieldFault)) {
	v.reportFaults.Store(&observe)
}

// noteReportFault passes on why a shared report on a server is not used, if it has a fault.
func (v *FleetView) noteReportFault(server string, fault backend.FieldFault) {
	if observe := v.reportFaults.Load(); fault.Name != "" && observe != nil {
		(*observe)(server, fault)
	}
}

// ReportsShared reports whether instances share their reports on servers at present.
func (v *FleetView) ReportsShared(now time.Time) bool {
	return now.Sub(*v.lastShared.Load()) < sharingWindow
}
