package relay

import (
	"context"
	"sync"
	"time"

	"junctioncross/backend"
	"junctioncross/follow"
	"junctioncross/supervise"
)

const (
	// earlyPollPeriod is the least time between two polls that end early because the instance has made a finding.
	earlyPollPeriod = 200 * time.Millisecond
	// earlyTimePerInstance, multiplied by the number of instances, replaces earlyPollPeriod where it is longer.
	earlyTimePerInstance = time.Millisecond
	// pushPeriod is the least time between two messages of findings from a relay to those of other domains.
	pushPeriod = 200 * time.Millisecond
	// pushTimeout bounds such a message.
	pushTimeout = peerTimeout
)

// findingSource says when this instance has made a finding about a server; a SharedReports may implement it.
type findingSource interface {
	// UrgentFindings returns a channel that receives a value when this instance has made a finding, or nil.
	UrgentFindings() <-chan struct{}
}

// pusher passes the findings of a domain on to the relays of other domains.
type pusher struct {
	mu sync.Mutex
	// pushedAt is the time up to which findings were passed on.
	pushedAt time.Time
	// pending is true if there are findings to pass on, and running while the goroutine that does so runs.
	pending, running bool
}

// pollForUpdates polls an instance for updates of a feed; findings go with polls for the servers feed.
func (s *Source) pollForUpdates(ctx context.Context, addr string, p poll) (update, error) {
	if p.Feed == follow.FeedServers {
		return s.pollReportingFindings(ctx, addr, p)
	}
	return s.pollInstance(ctx, addr, p)
}

// watchForUpdates asks the store for updates of a feed.
func (s *Source) watchForUpdates(ctx context.Context, feed follow.Feed, after follow.Position, noWait bool) (update, error) {
	if feed == follow.FeedServers {
		return s.watchReportingFindings(ctx, after, noWait)
	}
	return s.watchStore(ctx, feed, after, noWait)
}

// pollReportingFindings polls an instance for the servers feed. If this instance makes a finding while the poll is held, the poll
// is given up and sent anew with the finding.
func (s *Source) pollReportingFindings(ctx context.Context, addr string, p poll) (update, error) {
	urgent := s.urgentFindings()
	if urgent == nil {
		return s.pollInstance(ctx, addr, p)
	}
	for {
		// The poll carries the findings that were made before it, so that they need not end it.
		select {
		case <-urgent:
		default:
		}
		got, endedEarly, err := s.pollUntilFinding(ctx, addr, p, urgent)
		if !endedEarly || err == nil || ctx.Err() != nil {
			return got, err
		}
		s.stats.Counter("relay_polls_ended_early_total").Inc(1)
	}
}

// pollUntilFinding polls an instance, and gives the poll up once this instance makes a finding.
func (s *Source) pollUntilFinding(ctx context.Context, addr string, p poll, urgent <-chan struct{}) (got update, endedEarly bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan bool, 1)
	go func() {
		early := false
		s.guard.Call(partName, supervise.NoWork, func() { early = s.awaitFinding(ctx, urgent, cancel) })
		ended <- early
	}()
	got, err = s.pollInstance(ctx, addr, p)
	cancel()
	return got, <-ended, err
}

// awaitFinding calls end once this instance makes a finding, at least earlyPeriod after the last time, and reports whether it has
// called it before ctx ended.
func (s *Source) awaitFinding(ctx context.Context, urgent <-chan struct{}, end func()) bool {
	period := s.earlyPeriod()
	s.mu.Lock()
	pause := period - s.clock.Since(s.endedEarly)
	s.mu.Unlock()
	if pause > 0 && !s.clock.Sleep(ctx, pause) {
		return false
	}
	select {
	case <-urgent:
	case <-ctx.Done():
		return false
	}
	s.mu.Lock()
	s.endedEarly = s.clock.Now()
	s.mu.Unlock()
	end()
	return true
}

// earlyPeriod returns the least time between two polls that end early: longer in a large fleet, so that the relays can answer all.
func (s *Source) earlyPeriod() time.Duration {
	return max(earlyPollPeriod, time.Duration(s.fleet.Instances())*earlyTimePerInstance)
}

// watchReportingFindings watches the servers feed in the store, and passes the findings that this instance makes meanwhile to the
// instances that poll it.
func (s *Source) watchReportingFindings(ctx context.Context, after follow.Position, noWait bool) (update, error) {
	if urgent := s.urgentFindings(); urgent != nil {
		watching, cancel := context.WithCancel(ctx)
		defer cancel()
		go func() {
			s.guard.Call(partName, supervise.NoWork, func() {
				for s.awaitFinding(watching, urgent, func() {}) {
					s.wakePolls()
					s.pushFindings()
				}
			})
		}()
	}
	return s.watchStore(ctx, follow.FeedServers, after, noWait)
}

// urgentFindings returns the channel of a findingSource, or nil if there is none.
func (s *Source) urgentFindings() <-chan struct{} {
	if f, ok := s.reports.(findingSource); ok {
		return f.UrgentFindings()
	}
	return nil
}

// wakePolls answers all waiting polls of the servers feed.
func (s *Source) wakePolls() {
	s.lastWorse.Store(int64(s.clock.Since(s.begun)))
	s.logs[follow.FeedServers].notify()
}

// hasFindings reports whether reports hold a finding of an instance of this domain.
func (s *Source) hasFindings(reports []backend.SharedReport) bool {
	for _, r := range reports {
		for _, f := range r.Findings {
			if f.Domain == s.self.Domain {
				return true
			}
		}
	}
	return false
}

// pushFindings passes the findings of the domain on to the relays of the other domains, in the background, if this instance is
// the relay. Findings that come while it does so are passed on after pushPeriod.
func (s *Source) pushFindings() {
	if !s.isRelay() || s.stopped.Load() {
		return
	}
	s.push.mu.Lock()
	defer s.push.mu.Unlock()
	s.push.pending = true
	if s.push.running {
		return
	}
	s.push.running = true
	go func() {
		for s.takePending() {
			s.guard.Call(partName, supervise.NoWork, s.pushOnce)
			<-s.clock.After(pushPeriod)
		}
	}()
}

// takePending reports whether there are findings to pass on; if not, the goroutine that passes them on must end.
func (s *Source) takePending() bool {
	s.push.mu.Lock()
	defer s.push.mu.Unlock()
	if !s.push.pending || s.stopped.Load() {
		s.push.running = false
		return false
	}
	s.push.pending = false
	return true
}

// pushOnce passes the findings of the domain since the last call on to the relays of the other domains.
func (s *Source) pushOnce() {
	now := s.clock.Now()
	s.push.mu.Lock()
	after := s.push.pushedAt
	s.push.pushedAt = now
	s.push.mu.Unlock()
	found := s.domainFindings(after, now)
	if len(found) == 0 {
		return
	}
	at, _ := s.logs[follow.FeedServers].progress()
	p := poll{Feed: follow.FeedServers, After: at, NoWait: true, Reports: []backend.SharedReport{{Findings: found}}}
	ctx, cancel := s.clock.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, u := range s.upstreams() {
		if u.direct() {
			continue
		}
		all.Go(func() {
			s.guard.Call(partName, supervise.NoWork, func() { s.pushTo(ctx, u.addr, p) })
		})
	}
	all.Wait()
}

// pushTo passes findings on to one relay. The answer is not needed, and a relay that refuses to serve has taken the findings nevertheless.
func (s *Source) pushTo(ctx context.Context, addr string, p poll) {
	s.stats.Counter("finding_pushes_total").Inc(1)
	if _, err := s.peers.poll(ctx, addr, p); err != nil {
		s.stats.Counter("finding_pushes_unanswered_total").Inc(1)
	}
}

// domainFindings returns the findings of instances of this domain that this instance learned of after a time.
func (s *Source) domainFindings(after, now time.Time) []backend.Finding {
	var out []backend.Finding
	for _, r := range s.reports.Reports(after, now) {
		for _, f := range r.Findings {
			if f.Domain == s.self.Domain {
				out = append(out, f)
			}
		}
	}
	return out
}
