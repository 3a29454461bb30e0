package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"junctioncross/intent"
	"junctioncross/kv"
	"junctioncross/timer"
)

const (
	maxConfirmAttempts = 6
	confirmRetryDelay  = 150 * time.Millisecond
)

// Store reads and changes the configuration in the key-value service.
type Store struct {
	kv    kv.Store
	clock *timer.Service
}

// NewStore returns a Store over the key-value service.
func NewStore(store kv.Store, clock *timer.Service) *Store { return &Store{kv: store, clock: clock} }

// Head returns the stored head and the revision of its record in the key-value service. If there is no head yet, it returns an
// empty head and zero.
func (s *Store) Head(ctx context.Context) (Head, kv.Revision, error) {
	record, err := s.kv.Get(ctx, KeyHead)
	if errors.Is(err, kv.ErrNotFound) {
		return Head{Segments: map[string]string{}}, 0, nil
	}
	if err != nil {
		return Head{}, 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	head, err := DecodeHead(record.Value)
	return head, record.Revision, err
}

// WaitHead waits until the revision of the head's record in the key-value service is above after, and returns both. It returns
// ErrNoUpdate if the watch ends before.
func (s *Store) WaitHead(ctx context.Context, after kv.Revision) (Head, kv.Revision, error) {
	record, err := s.kv.Wait(ctx, KeyHead, after)
	if errors.Is(err, kv.ErrNotFound) {
		return Head{}, 0, ErrNoUpdate
	}
	if err != nil {
		return Head{}, 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	head, err := DecodeHead(record.Value)
	return head, record.Revision, err
}

// DecodeHead decodes a head from its stored form.
func DecodeHead(body []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(body, &h); err != nil {
		return h, errors.Wrap(err, "revision: decode head")
	}
	return h, nil
}

// Segment returns the body of the segment with this hash, or ErrUnavailable if it cannot be read or does not match the hash.
func (s *Store) Segment(ctx context.Context, hash string) ([]byte, error) {
	record, err := s.kv.Get(ctx, prefixSegment+hash)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if HashOf(record.Value) != hash {
		return nil, errors.Wrap(ErrUnavailable, "segment does not match its hash")
	}
	return record.Value, nil
}

// Document returns the document of a head. Segments that cached returns are not read from the key-value service.
func (s *Store) Document(ctx context.Context, head Head, cached func(hash string) ([]byte, bool)) (*intent.Document, error) {
	bodies, err := collectBodies(head, cached, func(hash string) ([]byte, error) { return s.Segment(ctx, hash) })
	if err != nil {
		return nil, err
	}
	return Join(bodies)
}

// AddIntent stores an intent.
func (s *Store) AddIntent(ctx context.Context, i Intent) error {
	return s.create(ctx, prefixIntent+i.ID, i)
}

// Intent returns a stored intent or ErrNoIntent.
func (s *Store) Intent(ctx context.Context, id string) (Intent, error) {
	return load[Intent](ctx, s.kv, prefixIntent+id, ErrNoIntent)
}

// Plan returns a stored plan or ErrNoPlan.
func (s *Store) Plan(ctx context.Context, id string) (Plan, error) {
	return load[Plan](ctx, s.kv, prefixPlan+id, ErrNoPlan)
}

// AddPlan stores the document's segments that head does not name, and then the plan. The configuration in force does not change.
func (s *Store) AddPlan(ctx context.Context, p Plan, head Head, d *intent.Document) (Plan, error) {
	segments, err := Split(d)
	if err != nil {
		return p, err
	}
	known := map[string]bool{}
	for _, hash := range head.Segments {
		known[hash] = true
	}
	p.Segments = map[string]string{}
	for _, segment := range segments {
		p.Segments[segment.name] = segment.hash
		if known[segment.hash] {
			continue
		}
		if err := s.createBytes(ctx, prefixSegment+segment.hash, segment.body); err != nil {
			return p, err
		}
	}
	return p, s.create(ctx, prefixPlan+p.ID, p)
}

func (s *Store) create(ctx context.Context, key string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "revision: encode")
	}
	return s.createBytes(ctx, key, body)
}

// createBytes creates a record whose key identifies its content, so that a record that exists already counts as success.
func (s *Store) createBytes(ctx context.Context, key string, body []byte) error {
	_, err := s.kv.Write(ctx, kv.Put{Key: key, Value: body})
	if err == nil || errors.Is(err, kv.ErrConflict) {
		return nil
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

// Confirm makes the plan the accepted configuration by replacing the head. It is idempotent by the plan's ID: if an answer is
// lost, it reads the head again to find out whether the plan was accepted. Its errors include ErrNoPlan, ErrUnavailable,
// ErrOutcomeUnknown and *ConflictError.
func (s *Store) Confirm(ctx context.Context, id, who string) (Entry, error) {
	plan, err := s.Plan(ctx, id)
	if err != nil {
		return Entry{}, err
	}
	maybeWritten := false
	for range maxConfirmAttempts {
		entry, err := s.tryConfirm(ctx, plan, who)
		if err == nil || !isRetryable(err) {
			return entry, err
		}
		maybeWritten = maybeWritten || errors.Is(err, ErrOutcomeUnknown)
		if !s.clock.Sleep(ctx, confirmRetryDelay) {
			break
		}
	}
	return Entry{}, confirmError(maybeWritten)
}

func isRetryable(err error) bool {
	return errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrUnavailable)
}

func confirmError(maybeWritten bool) error {
	if maybeWritten {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

func (s *Store) tryConfirm(ctx context.Context, plan Plan, who string) (Entry, error) {
	head, kvRevision, err := s.Head(ctx)
	if err != nil {
		return Entry{}, err
	}
	if entry, ok := head.confirmationOf(plan.ID); ok {
		return entry, nil
	}
	if head.Revision != plan.Base {
		if entry, ok := s.archivedEntry(ctx, plan); ok {
			return entry, nil
		}
		return Entry{}, &ConflictError{base: plan.Base, head: head.Revision, meantime: head.entriesAfter(plan.Base)}
	}
	entry := Entry{
		Revision: head.Revision + 1, Plan: plan.ID, Who: who, When: s.clock.Now().UTC(),
		Why: plan.Why, Changes: plan.Changes,
	}
	return entry, s.replaceHead(ctx, head, kvRevision, plan, entry)
}

// archivedEntry looks for the plan's confirmation among those that the head no longer lists.
func (s *Store) archivedEntry(ctx context.Context, plan Plan) (Entry, bool) {
	entry, err := load[Entry](ctx, s.kv, historyKey(plan.Base+1), ErrNoPlan)
	return entry, err == nil && entry.Plan == plan.ID
}

func (s *Store) replaceHead(ctx context.Context, head Head, kvRevision kv.Revision, plan Plan, entry Entry) error {
	next := Head{Revision: entry.Revision, Segments: plan.Segments, Recent: append(head.Recent, entry)}
	if len(next.Recent) > recentEntries {
		if err := s.archive(ctx, next.Recent[0]); err != nil {
			return err
		}
		next.Recent = next.Recent[1:]
	}
	body, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "revision: encode head")
	}
	_, err = s.kv.Write(ctx, kv.Put{Key: KeyHead, Value: body, Expect: kvRevision})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrOutcomeUnknown):
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
	default:
		return errors.Wrap(ErrUnavailable, err.Error())
	}
}

// archive stores an entry in a record of its own before it is dropped from the head's list, so that no confirmation is lost.
func (s *Store) archive(ctx context.Context, e Entry) error {
	return s.create(ctx, historyKey(e.Revision), e)
}

func historyKey(n Number) string { return fmt.Sprintf("%s%012d", prefixHistory, n) }

// History returns all confirmations, the newest first.
func (s *Store) History(ctx context.Context) ([]Entry, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	records, err := s.kv.List(ctx, prefixHistory)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	out := append([]Entry(nil), head.Recent...)
	for _, r := range records {
		var e Entry
		if err := json.Unmarshal(r.Value, &e); err != nil {
			return nil, errors.Wrap(err, "revision: decode history")
		}
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision > out[j].Revision })
	return out, nil
}

func load[T any](ctx context.Context, store kv.Store, key string, missing error) (T, error) {
	var value T
	record, err := store.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return value, missing
	}
	if err != nil {
		return value, errors.Wrap(ErrUnavailable, err.Error())
	}
	if err := json.Unmarshal(record.Value, &value); err != nil {
		return value, errors.Wrap(err, "revision: decode "+key)
	}
	return value, nil
}
