package relay

import (
	"time"

	"junctioncross/backend"
	"junctioncross/follow"
)

const (
	// wordsWait is the longest time that a relay holds a poll of the servers feed, whose answer also passes on shared reports
	// on servers. What one instance learns reaches its whole domain after half of that on average.
	wordsWait = 400 * time.Millisecond
	// wordsShare is the hold time for each polling instance, where that adds up to more: in a large domain reports are passed
	// on less often, so that there are no more polls than a relay can answer.
	wordsShare = 4 * time.Millisecond
	// initialReportAge is the greatest age of the reports in the first answer to an instance.
	initialReportAge = time.Second
)

// Words holds what the instance knows of the state of servers. Relays pass these reports on within their domain. One of
// hundreds of instances has few streams; without the reports it would learn which servers are slow or dead only by losing
// streams to one server after the other.
type Words interface {
	// OwnWords returns the reports on servers that this instance has queried itself after a time, including those that did not
	// answer.
	OwnWords(after, now time.Time) []backend.Word
	// Words returns all reports that this instance learned of after a time, its own and those of others.
	Words(after, now time.Time) []backend.Word
	// Hear applies the reports of another instance and returns whether the state of a server became bad by them.
	Hear(words []backend.Word, now time.Time) bool
}

// attach adds to a poll the own reports since the last poll, and the mark up to which the polled instance has passed on its
// reports.
func (s *Source) attach(p *poll, addr string, now time.Time) {
	if p.Feed != follow.FeedServers || p.Whole {
		return
	}
	s.mu.Lock()
	after, mark := s.sent, s.marks[addr]
	s.mu.Unlock()
	p.Words, p.Mark = s.words.OwnWords(after, now), mark
}

// learn applies the reports in the answer to a poll that was sent at asked.
func (s *Source) learn(p poll, t told, addr string, asked time.Time) {
	if p.Feed != follow.FeedServers || p.Whole {
		return
	}
	s.mu.Lock()
	s.sent, s.marks[addr] = asked, t.Mark
	s.mu.Unlock()
	s.words.Hear(t.Words, s.clock.Now())
}

// overhear applies the reports in a poll. If a server's state became bad by them, all waiting polls of the servers feed are
// answered at once.
func (s *Source) overhear(words []backend.Word) {
	now := s.clock.Now()
	if !s.words.Hear(words, now) {
		return
	}
	s.worse.Store(int64(now.Sub(s.begun)))
	s.logs[follow.FeedServers].notify()
}

// pass returns the reports for an instance that knows those up to mark, and the next mark.
func (s *Source) pass(mark time.Duration) ([]backend.Word, time.Duration) {
	now := s.clock.Now()
	after := now.Add(-initialReportAge)
	if reached := now.Sub(s.begun); mark > 0 && mark <= reached {
		after = s.begun.Add(mark)
	}
	return s.words.Words(after, now), now.Sub(s.begun)
}

// turnedWorse reports whether the state of a server has become bad since mark.
func (s *Source) turnedWorse(mark time.Duration) bool {
	return time.Duration(s.worse.Load()) > max(mark, 0)
}
