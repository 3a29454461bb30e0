package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// minBroad is the least breadth of a broad part. That of a harmful part is about 1, since the first server that begins to answer a
	// request with it terminates.
	minBroad = 2
	// manyEnds is the number of servers that may terminate under a harmful part until it should be known.
	manyEnds = 5
	// settleTime is how long after a part was first blamed servers may terminate under requests that were sent before.
	settleTime = 3 * time.Second
	// trialPeriod is how long it is the turn of one instance to try a part. By its end a trial has proved the part harmless, or its
	// failure is known.
	trialPeriod = 2 * time.Second
	// trialChanceBits says how seldom an instance tries a part out of turn: one request in 2^trialChanceBits at first. It matters to
	// instances that hear neither of ends nor of proofs in time, and where those whose turn it is get no request.
	trialChanceBits = 10
	// doublingPeriods is the number of periods without a result after which twice as many instances have their turn at once, and twice
	// as many requests are tried out of turn.
	doublingPeriods = 2
)

// turn is a run in which a server terminated under a part. The instance that sent it may try the part when the turn comes.
type turn struct {
	request Fingerprint
	server  string
	own     bool
}

// trial is a request that is sent although one of its parts is blamed.
type trial struct {
	request Fingerprint
	attempt string
	at      time.Time
}

// Try reports whether an attempt at a request is sent although it is quarantined for a part, in order to find out whether the part was
// blamed by mistake: nothing else proves that it is harmless while all requests with it are refused. The answer stays the same for the
// attempt until a server terminates under it or the trial has lasted for trialPeriod.
func (b *Book) Try(request Fingerprint, attempt string, of []Part, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests[request] != nil {
		return false
	}
	return b.parts.try(trial{request: request, attempt: attempt, at: now}, of)
}

// try begins or continues a trial of the blamed ones of the parts. It is the turn of the broadest of them that counts, since all others
// are proved along with it. A request with a narrow part is no trial of a broad one: if the narrow one explains the ends of the broad
// one, the request is harmful.
func (b *parts) try(t trial, of []Part) bool {
	blamed, broadest := b.blamedAmong(of)
	if broadest == nil {
		return false
	}
	var since time.Time
	for p, r := range blamed {
		due, ok := b.trialDue(p, r)
		if !ok || t.at.Before(due) || r.hasOtherTrial(t) || r.isNarrow() && !broadest.isNarrow() {
			return false
		}
		if r == broadest {
			since = due
		}
	}
	if !broadest.trial.continues(t) && !broadest.hasTurn(t, since) {
		return false
	}
	for _, r := range blamed {
		if !r.trial.continues(t) {
			r.trial = t
		}
	}
	return true
}

// blamedAmong returns the blamed ones of the parts, and the broadest of these.
func (b *parts) blamedAmong(of []Part) (blamed map[Part]*partRecord, broadest *partRecord) {
	all := b.blamedParts()
	blamed = map[Part]*partRecord{}
	for _, p := range of {
		r := all[p]
		if r == nil {
			continue
		}
		blamed[p] = r
		if broadest == nil || r.breadth > broadest.breadth {
			broadest = r
		}
	}
	return blamed, broadest
}

// hasOtherTrial reports whether another trial of the part is under way on this instance.
func (r *partRecord) hasOtherTrial(t trial) bool {
	return t.at.Sub(r.trial.at) < trialPeriod && !r.trial.continues(t)
}

// trialPauses returns how long no server must have terminated under a blamed part before a request with it is tried: at first, and after
// each failed trial. Broad parts are tried first, while nothing harmful is.
func (r *partRecord) trialPauses() []time.Duration {
	if r.isNarrow() {
		return []time.Duration{5 * time.Second}
	}
	return []time.Duration{2 * time.Second, 4 * time.Second}
}

// trialDue returns when a part is tried next, unless its trials have failed too often or it was released, which is a trial as well.
func (b *parts) trialDue(p Part, r *partRecord) (time.Time, bool) {
	pauses, failed := r.trialPauses(), b.failedTrials(p, r)
	if _, wasReleased := b.released[p]; wasReleased || failed >= len(pauses) {
		return time.Time{}, false
	}
	return r.latest.Add(pauses[failed]), true
}

// isNarrow reports whether hardly any server ran more than one request with the part when it terminated.
func (r *partRecord) isNarrow() bool { return r.breadth < minBroad }

// failedTrials returns the number of servers that terminated so late that the part should have been known, trials included, without
// those that terminated while they ran a request with a narrow part besides.
func (b *parts) failedTrials(p Part, r *partRecord) int {
	if failed, ok := b.failed[p]; ok {
		return failed
	}
	settled := r.knownAt().Add(settleTime)
	n := 0
	for server, e := range r.ends {
		if e.at.After(settled) && (r.isNarrow() || !b.narrowPartTerminated(p.Service, server)) {
			n++
		}
	}
	b.failed[p] = n
	return n
}

// narrowPartTerminated reports whether a server of a service terminated under a narrow part that is blamed.
func (b *parts) narrowPartTerminated(service, server string) bool {
	for p, r := range b.blamed {
		if p.Service == service && r.isNarrow() && r.ends[server] != nil {
			return true
		}
	}
	return false
}

// knownAt returns when the part was first blamed, or when a narrow one should have been.
func (r *partRecord) knownAt() time.Time {
	if !r.isNarrow() || len(r.ends) < manyEnds {
		return r.blamedAt
	}
	var at []time.Time
	for _, e := range r.ends {
		at = append(at, e.at)
	}
	slices.SortFunc(at, time.Time.Compare)
	if many := at[manyEnds-1]; many.Before(r.blamedAt) {
		return many
	}
	return r.blamedAt
}

// hasTurn reports whether this instance may try the part by an attempt at a request, which it could do since it was due.
func (r *partRecord) hasTurn(t trial, due time.Time) bool {
	period := int(t.at.Sub(due) / trialPeriod)
	atOnce := 1 << min(period/doublingPeriods, trialChanceBits)
	return r.ownsTurn(period, atOnce) || t.draw() < atOnce
}

// ownsTurn reports whether one of the turns in a period is that of this instance. All instances that know the same ends agree on the
// order.
func (r *partRecord) ownsTurn(period, atOnce int) bool {
	if r.turns == nil {
		r.turns = r.turnsInOrder()
	}
	for i := range min(atOnce, len(r.turns)) {
		if r.turns[(period*atOnce+i)%len(r.turns)].own {
			return true
		}
	}
	return false
}

// turnsInOrder returns the runs in which servers terminated under the part, in an order that is the same on all instances.
func (r *partRecord) turnsInOrder() []turn {
	var out []turn
	for server, e := range r.ends {
		for request := range e.requests {
			out = append(out, turn{request: request, server: server, own: e.own[request]})
		}
	}
	slices.SortFunc(out, func(a, b turn) int {
		return cmp.Or(bytes.Compare(a.request[:], b.request[:]), cmp.Compare(a.server, b.server))
	})
	return out
}

// continues reports whether an attempt is the one that this trial was begun with.
func (t trial) continues(other trial) bool {
	return t.attempt == other.attempt && t.request == other.request && other.at.Sub(t.at) < trialPeriod
}

// draw returns a number below 2^trialChanceBits that is the same for all parts and instances.
func (t trial) draw() int {
	digest := FingerprintOf(nil, t.request[:], t.attempt, nil)
	return int(binary.BigEndian.Uint32(digest[:]) % (1 << trialChanceBits))
}
