package relay

import (
	"time"

	"junctioncross/backend"
	"junctioncross/follow"
)

const (
	// reportsHoldTime is the longest time for which a relay of a small domain holds a poll of the servers feed, whose answer also
	// passes on shared reports on servers. What one instance learns reaches its whole domain after half of that on average.
	reportsHoldTime = 400 * time.Millisecond
	// holdTimePerPoller, multiplied by the number of polling instances, is the hold time where that is longer than
	// reportsHoldTime, up to pollHold: in a large domain reports are passed on less often, so that there are no more polls than
	// a relay can answer.
	holdTimePerPoller = 4 * time.Millisecond
	// initialReportAge is the greatest age of the reports in the first answer to an instance.
	initialReportAge = time.Second
)

// SharedReports holds what the instance knows of the state of servers. Relays pass these reports on within their domain. One of
// hundreds of instances has few streams; without the reports it would learn which servers are slow or dead only by losing
// streams to one server after the other.
type SharedReports interface {
	// OwnReports returns the reports that this instance obtained itself after a time by querying servers; a server that did not
	// answer counts too.
	OwnReports(after, now time.Time) []backend.SharedReport
	// Reports returns all reports that this instance learned of after a time, its own and those of others.
	Reports(after, now time.Time) []backend.SharedReport
	// ApplySharedReports applies the reports of another instance and returns whether they show that a server has become silent
	// or slow.
	ApplySharedReports(reports []backend.SharedReport, now time.Time) bool
}

// attachReports adds to a poll the own reports since the last poll, and the mark up to which the polled instance has passed on
// its reports.
func (s *Source) attachReports(p *poll, addr string, now time.Time) {
	if p.Feed != follow.FeedServers || p.Full {
		return
	}
	s.mu.Lock()
	after, mark := s.reportsSent, s.reportMarks[addr]
	s.mu.Unlock()
	p.Reports, p.Mark = s.reports.OwnReports(after, now), mark
}

// applyReply applies the reports in the answer to a poll that was sent at sentAt.
func (s *Source) applyReply(p poll, r pollReply, addr string, sentAt time.Time) {
	if p.Feed != follow.FeedServers || p.Full {
		return
	}
	s.mu.Lock()
	s.reportsSent, s.reportMarks[addr] = sentAt, r.Mark
	s.mu.Unlock()
	s.reports.ApplySharedReports(r.Reports, s.clock.Now())
}

// applyPolledReports applies the reports in a poll. If they show that a server has become silent or slow, or hold a finding that
// takes a server out of use, all waiting polls of the servers feed are answered at once.
func (s *Source) applyPolledReports(reports []backend.SharedReport) {
	worse := s.reports.ApplySharedReports(reports, s.clock.Now())
	if s.hasFindings(reports) {
		s.pushFindings()
	}
	if worse {
		s.wakePolls()
	}
}

// reportsSince returns the reports for an instance that knows those up to mark, and the next mark.
func (s *Source) reportsSince(mark time.Duration) ([]backend.SharedReport, time.Duration) {
	now := s.clock.Now()
	after := now.Add(-initialReportAge)
	if reached := now.Sub(s.begun); mark > 0 && mark <= reached {
		after = s.begun.Add(mark)
	}
	return s.reports.Reports(after, now), now.Sub(s.begun)
}

// turnedWorse reports whether waiting polls were answered since mark because of a silent or slow server or a finding.
func (s *Source) turnedWorse(mark time.Duration) bool {
	return time.Duration(s.lastWorse.Load()) > max(mark, 0)
}
