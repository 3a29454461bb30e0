package forward

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes bounds the size of one event, which is held in memory: many times what the tokens of an event take.
const maxEventBytes = 64 << 10

var (
	// errBadEvent means that bytes are not an event, or not the one that comes next.
	errBadEvent = errors.New("forward: malformed or out-of-order event")
	// errMissedEvent means that the caller has got later events than one that comes now, so that nothing can complete the answer.
	errMissedEvent = errors.New("forward: event after later ones")
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// events splits a stream into whole events and checks that their ids rise.
type events struct {
	pending []byte
	// last is the id of the last whole event, -1 before the first.
	last int64
	// gapped is true once the present run has left out an id. Ids need not follow one another, but an event with that id can't come any more.
	gapped bool
}

// feed takes bytes of the stream and returns the whole events that they complete, without those that the caller already has.
// The returned bytes are valid until the next call.
func (e *events) feed(p []byte) ([]byte, error) {
	e.pending = append(e.pending, p...)
	if len(e.pending) > maxEventBytes {
		return nil, errBadEvent
	}
	end := bytes.LastIndex(e.pending, eventEnd)
	if end < 0 {
		return nil, nil
	}
	whole := e.pending[:end+len(eventEnd)]
	rest := e.pending[end+len(eventEnd):]
	last, gapped := e.last, e.gapped
	out, err := e.newEvents(whole)
	if errors.Is(err, errMissedEvent) && !gapped {
		// The events around the gap have come together, and the caller has none of them.
		e.last, e.gapped = last, gapped
		out, err = nil, errBadEvent
	}
	// The rest moves to a new buffer, since the returned events still point into the old one.
	e.pending = append(make([]byte, 0, cap(e.pending)), rest...)
	return out, err
}

// newEvents returns the events with ids above the last one, which may follow events that the caller has but not precede them.
func (e *events) newEvents(whole []byte) ([]byte, error) {
	start := 0
	for at := 0; at < len(whole); {
		end := at + bytes.Index(whole[at:], eventEnd) + len(eventEnd)
		id, err := eventID(whole[at:end])
		if err != nil {
			return whole[start:at], err
		}
		if id <= e.last {
			if id < e.last && e.gapped {
				return whole[start:at], errMissedEvent
			}
			if start != at {
				return whole[start:at], errBadEvent
			}
			start = end
		} else {
			e.gapped = e.gapped || id != e.last+1
			e.last = id
		}
		at = end
	}
	return whole[start:], nil
}

// eventID returns the id of one event.
func eventID(event []byte) (int64, error) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return 0, errBadEvent
			}
			return id, nil
		}
	}
	return 0, errBadEvent
}

// resumed reports whether the caller has events already, so that a server is asked for those after the last one only.
func (e *events) resumed() bool { return e.last >= 0 }

// resumeAfter returns the event id to send to a server that is to resume the stream, or an empty string before the first
// event.
func (e *events) resumeAfter() string {
	if !e.resumed() {
		return ""
	}
	return strconv.FormatInt(e.last, 10)
}

// beginRun drops what is known of a former server's run but for the last whole event.
func (e *events) beginRun() { e.pending, e.gapped = e.pending[:0], false }
