package forward

import (
	"sync"
	"time"

	"junctioncross/backend"
)

const (
	// firstQueryPause is how long a server that a diagnosis found well is not queried again. The pause doubles with each such
	// answer up to maxQueryPause while streams through the server stay slow.
	firstQueryPause = 250 * time.Millisecond
	maxQueryPause   = time.Second
	// historyTime is how long the history of a server is kept after a diagnosis last suspected it: longer than the time between
	// two diagnoses of a slow server.
	historyTime = 600 * time.Millisecond
	// minSharedWell is how often in a row diagnoses of all instances must have found a server well for its streams to count as slow
	// at an instance that has not queried it.
	minSharedWell = 4
	// maxExplained bounds by how much a stream may be overdue because its server is slow.
	maxExplained = 500 * time.Millisecond
	// pauseHistoryTime is for how long the longest pause of a slow server's streams explains others.
	pauseHistoryTime = 2 * time.Second
	// sharedSettleTime is how much longer than healthyTime streams must have been still before a report of another instance
	// shows that the server outlived their last progress: the report seems newer by the time that it was in transit.
	sharedSettleTime = 100 * time.Millisecond
	// minReportLag is how old a report may be to be used in place of a query where no lag of reports is configured.
	minReportLag = 200 * time.Millisecond
)

// querySaving is the reason why a diagnosis does not query a server, or queryNow if it does.
type querySaving string

const (
	// queryNow means that the server has to be queried.
	queryNow querySaving = ""
	// savedEnded: the server is known to have terminated.
	savedEnded querySaving = "ended"
	// savedQueried: the instance has queried the server since its streams stand still.
	savedQueried querySaving = "just queried"
	// savedReport: a report that is recent enough shows that the server answers.
	savedReport querySaving = "recent report"
	// savedQuota: the instance has made its part of the queries of all instances.
	savedQuota querySaving = "quota"
	// savedWell: diagnoses have found the server well, and its streams stay slow.
	savedWell querySaving = "found well"
)

// suspicion is why a server may be what stalls some streams.
type suspicion struct {
	// stillSince is when a stream last made progress through the server, or was last sent to it.
	stillSince time.Time
	// overdue is by how much the most overdue of the streams is late, and stallLimit its stall limit.
	overdue    time.Duration
	stallLimit time.Duration
}

// queryHistory is what diagnoses have found out about a server whose streams stay slow.
type queryHistory struct {
	// suspectedAt is when a diagnosis last suspected the server.
	suspectedAt time.Time
	// wellAt is when the server was last known to be well, and well how often in a row it was found to be.
	wellAt time.Time
	well   int
	// answeredAt is when a diagnosis last got an answer.
	answeredAt time.Time
	// explained is by how much streams were lately overdue that moved again, or whose server answered, and explainedAt when.
	explained   time.Duration
	explainedAt time.Time
}

// queryPlan decides which servers a diagnosis queries. It is safe for concurrent use.
type queryPlan struct {
	mu        sync.Mutex
	histories map[*backend.Server]*queryHistory
}

func newQueryPlan() *queryPlan { return &queryPlan{histories: map[*backend.Server]*queryHistory{}} }

// decide returns whether a diagnosis has to query a server, or why it need not.
func (p *queryPlan) decide(s *backend.Server, why suspicion, lag time.Duration, now time.Time) querySaving {
	if s.Ended() {
		return savedEnded
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.historyLocked(s, now).decide(s.QueryState(), why, max(lag, minReportLag), s.Suspected(now), now)
}

// noteWell records that the server has answered the query of a diagnosis that began at the given time.
func (p *queryPlan) noteWell(s *backend.Server, why suspicion, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.historyLocked(s, at)
	h.answeredAt = at
	h.notePause(why.overdue, at)
	h.foundWell(at)
	s.NoteFoundWell(at)
}

// notePause records that a stream moved again after it was overdue, which slow servers on its path explain.
func (p *queryPlan) notePause(servers []*backend.Server, overdue time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range servers {
		if h := p.histories[s]; h != nil {
			h.notePause(overdue, now)
		}
	}
}

// urgent reports whether one of the servers of a stream has to be queried before the next regular diagnosis: one that was found
// well while its streams were slow, and no longer explains how long the stream has been still.
func (p *queryPlan) urgent(servers []*backend.Server, why suspicion, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range servers {
		h := p.histories[s]
		if h != nil && h.well > 0 && h.unexplained(why, now) && now.Sub(s.QueryState().QueriedAt) >= firstQueryPause {
			return true
		}
	}
	return false
}

// historyLocked returns the history of a server, which now counts as suspected, and forgets servers that are not any more.
func (p *queryPlan) historyLocked(s *backend.Server, now time.Time) *queryHistory {
	for server, h := range p.histories {
		if now.Sub(h.suspectedAt) > historyTime {
			delete(p.histories, server)
		}
	}
	h := p.histories[s]
	if h == nil {
		h = &queryHistory{}
		p.histories[s] = h
	}
	h.suspectedAt = later(h.suspectedAt, now)
	return h
}

// decide returns whether the server has to be queried; lag is the age up to which a report stands for a query.
func (h *queryHistory) decide(q backend.QueryState, why suspicion, lag time.Duration, suspected bool, now time.Time) querySaving {
	settled := why.stillSince.Add(healthyTime)
	queried := now.Sub(q.QueriedAt) < firstQueryPause
	switch {
	case queried && q.QueriedAt.After(settled):
		return savedQueried
	case suspected, q.Silent && q.ReportedAt.After(h.answeredAt), q.RefusedAt.After(q.QueriedAt), h.unexplained(why, now):
		return queryNow
	}
	h.adopt(q, now)
	if !q.Own {
		settled = settled.Add(sharedSettleTime)
	}
	recent := !q.Silent && q.ReportedAt.After(settled)
	if !q.Silent && (recent || h.well > 0) && q.ReportedAt.Sub(h.wellAt) >= sharedSettleTime {
		h.foundWell(q.ReportedAt)
	}
	switch {
	case recent && now.Sub(q.ReportedAt) <= lag:
		return savedReport
	case now.Sub(h.wellAt) < h.pause():
		return savedWell
	default:
		return queryNow
	}
}

// unexplained reports whether streams are overdue by more than a slow but living server explains: the longest pause of its streams
// lately, or their stall limit if that is longer. An answer of the server since then counts for firstQueryPause.
func (h *queryHistory) unexplained(why suspicion, now time.Time) bool {
	explained := max(why.stallLimit, h.explained)
	if why.overdue <= explained {
		return false
	}
	return h.answeredAt.Before(now.Add(explained-why.overdue)) || now.Sub(h.answeredAt) >= firstQueryPause
}

// notePause records by how much a stream was overdue because the server is slow, if that is more than others were lately.
func (h *queryHistory) notePause(overdue time.Duration, now time.Time) {
	if overdue >= h.explained || now.Sub(h.explainedAt) > pauseHistoryTime {
		h.explained, h.explainedAt = min(overdue, maxExplained), now
	}
}

// adopt takes over what diagnoses of other instances have found lately.
func (h *queryHistory) adopt(q backend.QueryState, now time.Time) {
	if q.FoundWell >= minSharedWell && q.FoundWellAt.After(h.wellAt) && now.Sub(q.FoundWellAt) < maxQueryPause {
		h.wellAt, h.well = q.FoundWellAt, max(h.well, q.FoundWell)
	}
}

// foundWell notes that the server was well at a moment.
func (h *queryHistory) foundWell(at time.Time) {
	h.wellAt = later(h.wellAt, at)
	h.well++
}

// pause returns how long the server is not queried again after it was last found well.
func (h *queryHistory) pause() time.Duration {
	if h.well == 0 {
		return 0
	}
	return min(firstQueryPause<<min(h.well-1, 8), maxQueryPause)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
