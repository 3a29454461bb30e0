package revision

import "time"

// Number orders the accepted configurations; zero means that there is none.
type Number uint64

// Keys in the key-value service.
const (
	KeyHead       = "config/head"
	prefixSegment = "config/segment/"
	prefixHistory = "config/history/"
	prefixPlan    = "plan/"
	prefixIntent  = "intent/"
)

// recentEntries is the number of confirmations that the head itself lists.
const recentEntries = 32

// Entry is one confirmation in the history.
type Entry struct {
	Revision Number    `json:"revision"`
	Plan     string    `json:"plan"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Why      string    `json:"why"`
	Changes  []string  `json:"changes"`
}

// Head names the segments of one accepted configuration. A plan is confirmed by replacing the stored head.
type Head struct {
	Revision Number `json:"revision"`
	// Segments maps the name of each segment to the hash of its content.
	Segments map[string]string `json:"segments"`
	// Recent lists the latest confirmations, the newest last.
	Recent []Entry `json:"recent"`
}

// confirmationOf returns the plan's entry in the head's list of recent confirmations.
func (h *Head) confirmationOf(plan string) (Entry, bool) {
	for _, e := range h.Recent {
		if e.Plan == plan {
			return e, true
		}
	}
	return Entry{}, false
}

// entriesAfter returns the recent confirmations after a revision.
func (h *Head) entriesAfter(base Number) []Entry {
	var out []Entry
	for _, e := range h.Recent {
		if e.Revision > base {
			out = append(out, e)
		}
	}
	return out
}

// Plan is a proposed configuration, which has no effect before it is confirmed. Base is the revision that it was made from.
type Plan struct {
	ID       string            `json:"id"`
	Intent   string            `json:"intent"`
	Base     Number            `json:"base"`
	Why      string            `json:"why"`
	Who      string            `json:"who"`
	Created  time.Time         `json:"created"`
	Changes  []string          `json:"changes"`
	Effects  []string          `json:"effects"`
	Segments map[string]string `json:"segments"`
}

// Intent is an operator's request to change the configuration, stored as the operator wrote it.
type Intent struct {
	ID      string    `json:"id"`
	Who     string    `json:"who"`
	Created time.Time `json:"created"`
	YAML    string    `json:"yaml"`
}
