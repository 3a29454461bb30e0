package relay

import "junctioncross/quarantine"

// Ends holds which servers ended under which requests. An instance that cannot write to the store tells those that it asks for news.
type Ends interface {
	// Untold returns what the store was not told yet.
	Untold() []quarantine.End
	// Adopt takes over what another instance could not tell the store.
	Adopt(ends []quarantine.End)
}
