package relay

import (
	"time"

	"junctioncross/backend"
	"junctioncross/follow"
)

const (
	// wordsWait is the longest that a relay holds a question about servers where it has words on their state to pass on: all of a
	// domain know what one instance finds after half of that in the mean.
	wordsWait = 400 * time.Millisecond
	// wordsShare is the relay's time for each instance that asks it: in a large domain words are passed on less often, so that their questions do
	// not grow to more than a relay answers.
	wordsShare = 4 * time.Millisecond
	// initialReportAge is how old the words are that are passed on at first.
	initialReportAge = time.Second
)

// Words holds what the instance knows of the state of servers. Relays pass it on within their domain: an instance of hundreds has
// few streams, and would find out by losing them, one server after the other, which servers are slow or dead.
type Words interface {
	// OwnWords returns what servers told, or did not tell, this instance after a moment.
	OwnWords(after, now time.Time) []backend.Word
	// Words returns all that is known and was learned after a moment.
	Words(after, now time.Time) []backend.Word
	// Hear takes over what others know, and reports whether a server turned bad by it.
	Hear(words []backend.Word, now time.Time) bool
}

// attach adds to a question what this instance was told by servers since its last question, and how far the asked one has told it.
func (s *Source) attach(p *poll, addr string, now time.Time) {
	if p.Feed != follow.FeedServers || p.Whole {
		return
	}
	s.mu.Lock()
	after, mark := s.sent, s.marks[addr]
	s.mu.Unlock()
	p.Words, p.Mark = s.words.OwnWords(after, now), mark
}

// learn takes over the words of an answer to a question that was sent at asked.
func (s *Source) learn(p poll, t told, addr string, asked time.Time) {
	if p.Feed != follow.FeedServers || p.Whole {
		return
	}
	s.mu.Lock()
	s.sent, s.marks[addr] = asked, t.Mark
	s.mu.Unlock()
	s.words.Hear(t.Words, s.clock.Now())
}

// overhear takes over the words of a question. When a server turned bad by them, all that wait for news of servers are told at once.
func (s *Source) overhear(words []backend.Word) {
	now := s.clock.Now()
	if !s.words.Hear(words, now) {
		return
	}
	s.worse.Store(int64(now.Sub(s.begun)))
	s.logs[follow.FeedServers].notify()
}

// pass returns the words for one that has heard those up to mark, and the next mark.
func (s *Source) pass(mark time.Duration) ([]backend.Word, time.Duration) {
	now := s.clock.Now()
	after := now.Add(-initialReportAge)
	if reached := now.Sub(s.begun); mark > 0 && mark <= reached {
		after = s.begun.Add(mark)
	}
	return s.words.Words(after, now), now.Sub(s.begun)
}

// turnedWorse reports whether a server has turned bad since mark.
func (s *Source) turnedWorse(mark time.Duration) bool {
	return time.Duration(s.worse.Load()) > max(mark, 0)
}
