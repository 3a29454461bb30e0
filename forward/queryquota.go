package forward

import (
	"sync"
	"time"
)

const (
	// queriesPerServer is the number of queries a second that the diagnoses of all instances together make of each server in the
	// mean, while instances share what these find out.
	queriesPerServer = 2.0
	// queryBurst is the number of queries that an instance may save up: those of the servers of one long path, so that the first
	// diagnosis of a stalled stream asks all of them at once.
	queryBurst = 12.0
)

// queryQuota is an instance's part of the queries that diagnoses may make. It is safe for concurrent use.
type queryQuota struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

func newQueryQuota(now time.Time) *queryQuota { return &queryQuota{tokens: queryBurst, at: now} }

// take takes a query out of the quota and reports whether there was one; servers and instances are the numbers of those that
// share the queries.
func (q *queryQuota) take(servers, instances int, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate := queriesPerServer * float64(servers) / float64(max(instances, 1))
	q.tokens = min(q.tokens+rate*max(now.Sub(q.at), 0).Seconds(), queryBurst)
	q.at = later(q.at, now)
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}
