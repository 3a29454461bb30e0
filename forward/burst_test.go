package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/demand"
)

const (
	// burstInstances share the room of burstRoom streams of burstLifetime each.
	burstInstances = 87
	burstRoom      = 9 * burstInstances
	burstLifetime  = 3 * time.Second
	// burstLoad is the load from burstFrom to burstTo, and calmLoad that before and after, as a multiple of what can be served.
	burstLoad = 1.3
	calmLoad  = 0.8
	burstFrom = 10 * time.Second
	burstTo   = 20 * time.Second
	burstEnd  = 40 * time.Second
	burstStep = 10 * time.Millisecond
	// burstReportPeriod is the time between two reports of an instance, so that they are up to that old.
	burstReportPeriod = time.Second
	// firstWait and returnWait are how long first and later tries wait for room, and patience how long callers try.
	firstWait  = 300 * time.Millisecond
	returnWait = 900 * time.Millisecond
	patience   = 15 * time.Second
)

// burstTry is a try of a caller at an instance.
type burstTry struct {
	*inflight
	since, arrived time.Time
	q              int
}

// burst plays a service of which each instance sees only its own streams.
type burst struct {
	domain bool
	// arrivals draws when new callers arrive, lives how long their streams last, and random all the rest.
	arrivals, lives, random *rand.Rand

	start, now time.Time
	queues     []*queue
	book       *demand.Book
	free       int
	// waiting holds the tries that wait, ends the streams by the time at which they end, and returns the callers who were told
	// to return by that time; both in steps since the start.
	waiting []*burstTry
	ends    map[int][]*burstTry
	returns map[int][]time.Time
	// told is the number of callers who were told to return and have not returned yet.
	told int
	// returned counts the later tries, refused those of them that were refused, lost the callers who gave up, and idle the time
	// in which a twentieth of the room or more was free while callers had been told to return.
	returned, refused, lost int
	idle                    time.Duration
}

func newBurst(domain bool, seed uint64) *burst {
	b := &burst{
		domain: domain, arrivals: rand.New(rand.NewPCG(seed, 1)), lives: rand.New(rand.NewPCG(seed, 2)),
		random: rand.New(rand.NewPCG(seed, 3)), start: time.Unix(0, 0), now: time.Unix(0, 0), free: burstRoom,
		book: demand.NewBook("east"), ends: map[int][]*burstTry{}, returns: map[int][]time.Time{},
	}
	for range burstInstances {
		b.queues = append(b.queues, newQueue())
	}
	return b
}

func (b *burst) step(at time.Time) int { return int(at.Sub(b.start) / burstStep) }

// play runs all steps.
func (b *burst) play() {
	for b.now.Before(b.start.Add(burstEnd)) {
		b.now = b.now.Add(burstStep)
		b.endStreams()
		b.arrive()
		b.giveRoom()
		b.refuseOverdue()
		b.report()
		if b.told > 0 && b.free >= burstRoom/20 {
			b.idle += burstStep
		}
	}
}

func (b *burst) endStreams() {
	for _, one := range b.ends[b.step(b.now)] {
		b.queues[one.q].removeUnderWay(one.inflight)
		b.queues[one.q].ended(b.now.Sub(one.since))
		b.free++
	}
	delete(b.ends, b.step(b.now))
}

// arrive lets new and returning callers arrive, each at any instance.
func (b *burst) arrive() {
	load := calmLoad
	if at := b.now.Sub(b.start); at >= burstFrom && at < burstTo {
		load = burstLoad
	}
	mean := load * burstRoom * burstStep.Seconds() / burstLifetime.Seconds()
	for left := b.arrivals.ExpFloat64(); left < mean; left += b.arrivals.ExpFloat64() {
		b.try(b.now, false)
	}
	for _, arrived := range b.returns[b.step(b.now)] {
		b.told--
		b.returned++
		b.try(arrived, true)
	}
	delete(b.returns, b.step(b.now))
}

func (b *burst) try(arrived time.Time, returned bool) {
	one := &burstTry{inflight: &inflight{r: &request{}, returned: returned}, since: b.now, arrived: arrived, q: b.random.IntN(burstInstances)}
	b.queues[one.q].join(one.inflight)
	b.waiting = append(b.waiting, one)
}

// giveRoom gives free room to the first ones of the queues, in any order of these.
func (b *burst) giveRoom() {
	for given := true; given && b.free > 0; {
		given = false
		b.random.Shuffle(len(b.waiting), func(i, j int) { b.waiting[i], b.waiting[j] = b.waiting[j], b.waiting[i] })
		var left []*burstTry
		for _, one := range b.waiting {
			q := b.queues[one.q]
			if b.free == 0 || !q.isFirst(one.inflight) {
				left = append(left, one)
				continue
			}
			q.leave(one.inflight)
			q.addUnderWay(one.inflight, b.now)
			if b.now.After(one.since) {
				q.countAdmitted()
			}
			life := time.Duration((0.3 + 0.7*b.lives.ExpFloat64()) * float64(burstLifetime))
			end := b.step(b.now.Add(life)) + 1
			b.ends[end] = append(b.ends[end], one)
			b.free--
			given = true
		}
		b.waiting = left
	}
}

// refuseOverdue refuses those who have waited as long as they may.
func (b *burst) refuseOverdue() {
	var left []*burstTry
	for _, one := range b.waiting {
		wait := firstWait
		if one.returned {
			wait = returnWait
		}
		if b.now.Sub(one.since) < wait {
			left = append(left, one)
			continue
		}
		b.refuse(one)
	}
	b.waiting = left
}

func (b *burst) refuse(one *burstTry) {
	q := b.queues[one.q]
	q.leave(one.inflight)
	if one.returned {
		b.refused++
	}
	remaining := patience - b.now.Sub(one.arrived)
	limit := time.Duration(maxRetryAfterShare * float64(remaining))
	if remaining < burstLifetime {
		b.lost++
		return
	}
	after := b.timeToRoom(q, limit)
	after = min(after+time.Duration(b.random.Float64()*retryJitter*float64(after)), limit)
	q.retryTimes = append(q.retryTimes, b.now.Add(after))
	q.told.add(b.now)
	b.told++
	due := b.step(b.now.Add(after)) + 1
	b.returns[due] = append(b.returns[due], one.arrived)
}

func (b *burst) timeToRoom(q *queue, limit time.Duration) time.Duration {
	if totals, ok := b.book.Totals("chat", "east", b.now); ok && b.domain {
		if d := (domainForecast{totals: totals}); d.usable() {
			return d.timeToRoom(limit)
		}
	}
	return q.timeToRoomLocked(q.forecastLocked(b.now, notStalled), b.now, limit)
}

func notStalled(*inflight) bool { return false }

// report lets the instances report whose turn it is.
func (b *burst) report() {
	steps := int(burstReportPeriod / burstStep)
	for i, q := range b.queues {
		if i%steps != b.step(b.now)%steps {
			continue
		}
		r := q.loadReport(b.now, notStalled)
		r.Service, r.Room = "chat", burstRoom
		b.book.AddReports(fmt.Sprint(i), []demand.Report{r}, 0, b.now)
	}
}

// TestCallersOfABurstReturnWhenThereIsRoom plays a burst of 1.3 times the load that can be served, over 87 instances whose
// reports are up to a second old, with the forecast from the domain's totals and with that from the own streams.
func TestCallersOfABurstReturnWhenThereIsRoom(t *testing.T) {
	var own, domain burst
	for seed := range uint64(5) {
		one, other := newBurst(false, seed), newBurst(true, seed)
		one.play()
		other.play()
		t.Logf("seed %d own streams: %d returns, %d refused again, %d lost, idle %s", seed, one.returned, one.refused, one.lost, one.idle)
		t.Logf("seed %d domain: %d returns, %d refused again, %d lost, idle %s", seed, other.returned, other.refused, other.lost, other.idle)
		require.Less(t, other.refused, other.returned/20, "seed %d", seed)
		require.Less(t, other.idle, 1500*time.Millisecond, "seed %d", seed)
		own.add(one)
		domain.add(other)
	}
	require.Zero(t, domain.lost)
	require.LessOrEqual(t, 2*domain.idle, own.idle)
	require.LessOrEqual(t, float64(domain.refused)/float64(domain.returned), 1.2*float64(own.refused)/float64(own.returned))
}

// add adds the figures of another play.
func (b *burst) add(other *burst) {
	b.returned += other.returned
	b.refused += other.refused
	b.lost += other.lost
	b.idle += other.idle
}
