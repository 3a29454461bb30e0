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
	// collectTime is how long a writer gathers claims for one record.
	collectTime = 10 * time.Millisecond
	maxPerWrite = 256
	appendTries = 8
	queueLength = 1024
)

// record is one entry of a partition's log.
type record struct {
	Writer string  `json:"w"`
	Nonce  uint64  `json:"n"`
	Claims []Claim `json:"c"`
}

type asked struct {
	claim  Claim
	answer chan answered
}

type answered struct {
	verdict Verdict
	err     error
}

// Log is one partition of the claim log with this process as a writer.
type Log struct {
	store  kv.Store
	clock  *timer.Service
	stats  *metrics.Registry
	prefix string
	writer string
	asks   chan asked
	stop   chan struct{}

	// The fields below belong to the writer's goroutine.
	table  *table
	next   uint64
	nonce  uint64
	loaded bool
}

// NewLog returns the partition's log and starts its writer; writer names this process and incarnation.
func NewLog(store kv.Store, clock *timer.Service, stats *metrics.Registry, partition int, writer string) *Log {
	l := &Log{
		store: store, clock: clock, stats: stats, prefix: partitionPrefix(partition), writer: writer,
		asks: make(chan asked, queueLength), stop: make(chan struct{}), table: newTable(), next: 1,
	}
	go func() { l.write() }()
	return l
}

// Ask claims a key, or records an outcome; it returns when the log says who holds the key.
func (l *Log) Ask(ctx context.Context, c Claim) (Verdict, error) {
	a := asked{claim: c, answer: make(chan answered, 1)}
	select {
	case l.asks <- a:
	case <-ctx.Done():
		return nil, ErrUnavailable
	}
	select {
	case got := <-a.answer:
		return got.verdict, got.err
	case <-ctx.Done():
		return nil, ErrUnsure
	}
}

// Close ends the writer.
func (l *Log) Close() { close(l.stop) }

func (l *Log) write() {
	for {
		batch := l.collect()
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		l.serve(ctx, batch)
		cancel()
	}
}

const callTime = 3 * time.Second

// collect waits for a claim and gathers those that follow within collectTime.
func (l *Log) collect() []asked {
	var batch []asked
	select {
	case a := <-l.asks:
		batch = append(batch, a)
	case <-l.stop:
		return nil
	}
	end := l.clock.After(collectTime)
	for len(batch) < maxPerWrite {
		select {
		case a := <-l.asks:
			batch = append(batch, a)
		case <-end:
			return batch
		}
	}
	return batch
}

// serve answers a batch: what the table does not settle is appended, and settled by what the log then says.
func (l *Log) serve(ctx context.Context, batch []asked) {
	unsure := false
	stale := !l.loaded
	for range appendTries {
		if stale {
			if err := l.catchUp(ctx); err != nil {
				answerAll(batch, failure(unsure, err))
				return
			}
		}
		batch = l.settle(batch)
		if len(batch) == 0 {
			return
		}
		err := l.append(ctx, batch)
		stale = err != nil
		switch {
		case err == nil, errors.Is(err, kv.ErrConflict):
		case errors.Is(err, kv.ErrUnsure):
			unsure = true
		default:
			answerAll(batch, failure(unsure, err))
			return
		}
	}
	answerAll(batch, failure(unsure, errors.New("too many writers")))
}

func failure(unsure bool, cause error) error {
	if unsure {
		return errors.Wrap(ErrUnsure, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

func answerAll(batch []asked, err error) {
	for _, a := range batch {
		a.answer <- answered{err: err}
	}
}

// settle answers what the table decides and returns the rest.
func (l *Log) settle(batch []asked) []asked {
	rest := batch[:0]
	for _, a := range batch {
		if v := l.decide(a.claim); v != nil {
			a.answer <- answered{verdict: v}
			continue
		}
		rest = append(rest, a)
	}
	return rest
}

// decide returns the verdict on a claim or an outcome, or nil when a record has to be appended first.
func (l *Log) decide(c Claim) Verdict {
	if !c.Void && c.Status == 0 {
		return l.table.judge(c)
	}
	held, ok := l.table.held[c.Key]
	if !ok || held.Request != c.Request || held.Status == c.Status && !c.Void {
		return Granted{}
	}
	return nil
}

// append creates the next record of the log; only one writer can.
func (l *Log) append(ctx context.Context, batch []asked) error {
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
	_, err = l.store.Write(ctx, kv.Put{Key: l.key(l.next), Value: body})
	if err == nil {
		l.absorb(r)
	}
	return err
}

func (l *Log) key(sequence uint64) string { return fmt.Sprintf("%s%012d", l.prefix, sequence) }

// catchUp reads the records that other writers, or a write whose answer was lost, have left.
func (l *Log) catchUp(ctx context.Context) error {
	if !l.loaded {
		return l.loadAll(ctx)
	}
	for {
		stored, err := l.store.Get(ctx, l.key(l.next))
		if errors.Is(err, kv.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := l.absorbBody(stored.Value); err != nil {
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
		if err != nil || sequence < l.next {
			continue
		}
		l.next = sequence
		if err := l.absorbBody(r.Value); err != nil {
			return err
		}
	}
	l.loaded = true
	return nil
}

func (l *Log) absorbBody(body []byte) error {
	var r record
	if err := json.Unmarshal(body, &r); err != nil {
		return errors.Wrap(err, "decode claims")
	}
	l.absorb(r)
	return nil
}

func (l *Log) absorb(r record) {
	for _, c := range r.Claims {
		l.table.absorb(c)
	}
	l.next++
}
