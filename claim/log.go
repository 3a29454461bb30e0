package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"junctioncross/kv"
	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// batchDelay is how long a writer collects claims for one record.
	batchDelay        = 10 * time.Millisecond
	maxBatch          = 256
	maxAppendAttempts = 8
	queueLength       = 1024
)

// record is one entry of a partition's log. Writer and Nonce name its origin; the program does not read them.
type record struct {
	Writer string  `json:"w"`
	Nonce  uint64  `json:"n"`
	Claims []Claim `json:"c"`
}

type pendingClaim struct {
	claim  Claim
	result chan claimResult
}

type claimResult struct {
	verdict Verdict
	err     error
}

// Log is one partition of the claim log, to which this process writes; others may write to it, too.
type Log struct {
	store  kv.Store
	clock  *timer.Service
	stats  *metrics.Registry
	prefix string
	writer string
	queue  chan pendingClaim
	stop   chan struct{}

	// The fields below belong to the writer's goroutine. loaded is true once the whole log has been read.
	table        *table
	nextSequence uint64
	nonce        uint64
	loaded       bool
}

// NewLog returns the log of a partition and starts its writer goroutine; writer names this process and incarnation.
func NewLog(store kv.Store, clock *timer.Service, stats *metrics.Registry, partition int, writer string) *Log {
	l := &Log{
		store: store, clock: clock, stats: stats, prefix: partitionPrefix(partition), writer: writer,
		queue: make(chan pendingClaim, queueLength), stop: make(chan struct{}), table: newTable(), nextSequence: 1,
	}
	go func() { l.run() }()
	return l
}

// Submit claims a key, or records the outcome of the request that holds it, and waits for the verdict. If ctx ends first, it
// returns ErrUnavailable for a claim that was not yet queued, and ErrOutcomeUnknown for one that was.
func (l *Log) Submit(ctx context.Context, c Claim) (Verdict, error) {
	a := pendingClaim{claim: c, result: make(chan claimResult, 1)}
	select {
	case l.queue <- a:
	case <-ctx.Done():
		return nil, ErrUnavailable
	}
	select {
	case got := <-a.result:
		return got.verdict, got.err
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	}
}

// Close stops the writer.
func (l *Log) Close() { close(l.stop) }

func (l *Log) run() {
	for {
		batch := l.collectBatch()
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		l.processBatch(ctx, batch)
		cancel()
	}
}

// batchTimeout bounds all calls to the key-value service for one batch.
const batchTimeout = 3 * time.Second

// collectBatch waits for a claim and adds those that follow within batchDelay; it returns nil after Close.
func (l *Log) collectBatch() []pendingClaim {
	var batch []pendingClaim
	select {
	case a := <-l.queue:
		batch = append(batch, a)
	case <-l.stop:
		return nil
	}
	end := l.clock.After(batchDelay)
	for len(batch) < maxBatch {
		select {
		case a := <-l.queue:
			batch = append(batch, a)
		case <-end:
			return batch
		}
	}
	return batch
}

// processBatch answers all claims of a batch. Those that the table does not decide are appended to the log. If another writer has
// appended first or an answer was lost, it reads the new records and decides the claims again, up to maxAppendAttempts times.
func (l *Log) processBatch(ctx context.Context, batch []pendingClaim) {
	unsure := false
	stale := !l.loaded
	for range maxAppendAttempts {
		if stale {
			if err := l.catchUp(ctx); err != nil {
				failAll(batch, batchError(unsure, err))
				return
			}
		}
		batch = l.answerDecided(batch)
		if len(batch) == 0 {
			return
		}
		err := l.append(ctx, batch)
		stale = err != nil
		switch {
		case err == nil, errors.Is(err, kv.ErrConflict):
		case errors.Is(err, kv.ErrOutcomeUnknown):
			unsure = true
		default:
			failAll(batch, batchError(unsure, err))
			return
		}
	}
	failAll(batch, batchError(unsure, errors.New("too many writers")))
}

func batchError(unsure bool, cause error) error {
	if unsure {
		return errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

func failAll(batch []pendingClaim, err error) {
	for _, a := range batch {
		a.result <- claimResult{err: err}
	}
}

// answerDecided answers the claims that the table decides and returns the others.
func (l *Log) answerDecided(batch []pendingClaim) []pendingClaim {
	undecided := batch[:0]
	for _, a := range batch {
		if v := l.decide(a.claim); v != nil {
			a.result <- claimResult{verdict: v}
			continue
		}
		undecided = append(undecided, a)
	}
	return undecided
}

// decide returns the verdict on a claim or an outcome, or nil if it has to be appended to the log first.
func (l *Log) decide(c Claim) Verdict {
	if !c.Void && c.Status == 0 {
		return l.table.verdict(c)
	}
	holder, ok := l.table.holders[c.Key]
	if !ok || holder.Request != c.Request || holder.Status == c.Status && !c.Void {
		return Granted{}
	}
	return nil
}

// append creates the next record of the log. Of several writers only one succeeds; the others get kv.ErrConflict.
func (l *Log) append(ctx context.Context, batch []pendingClaim) error {
	l.nonce++
	r := record{Writer: l.writer, Nonce: l.nonce, Claims: make([]Claim, 0, len(batch))}
	for _, a := range batch {
		r.Claims = append(r.Claims, a.claim)
	}
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode claims")
	}
	l.stats.Counter("claim_writes_total").Inc(1)
	_, err = l.store.Write(ctx, kv.Put{Key: l.recordKey(l.nextSequence), Value: body})
	if err == nil {
		l.apply(r)
	}
	return err
}

func (l *Log) recordKey(sequence uint64) string { return fmt.Sprintf("%s%012d", l.prefix, sequence) }

// catchUp reads the records that were appended by other writers, or by an own write whose answer was lost.
func (l *Log) catchUp(ctx context.Context) error {
	if !l.loaded {
		return l.loadAll(ctx)
	}
	for {
		stored, err := l.store.Get(ctx, l.recordKey(l.nextSequence))
		if errors.Is(err, kv.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := l.applyBody(stored.Value); err != nil {
			return err
		}
	}
}

func (l *Log) loadAll(ctx context.Context) error {
	records, err := l.store.List(ctx, l.prefix)
	if err != nil {
		return err
	}
	for _, r := range records {
		sequence, err := strconv.ParseUint(strings.TrimPrefix(r.Key, l.prefix), 10, 64)
		if err != nil || sequence < l.nextSequence {
			continue
		}
		l.nextSequence = sequence
		if err := l.applyBody(r.Value); err != nil {
			return err
		}
	}
	l.loaded = true
	return nil
}

func (l *Log) applyBody(body []byte) error {
	var r record
	if err := json.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "decode claims")
	}
	l.apply(r)
	return nil
}

func (l *Log) apply(r record) {
	for _, c := range r.Claims {
		l.table.apply(c)
	}
	l.nextSequence++
}
