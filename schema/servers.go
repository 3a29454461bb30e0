package schema

// The first entry of a server.
type serverKnown struct {
	_ struct{} `msg:"server known" level:"info"`
	serverEntry
}

// Entries of many servers at once, which have no lines of their own.
type serversKnown struct {
	_ struct{} `msg:"servers known" level:"info"`
	// The number of servers that are known now.
	Servers int64 `log:"servers"`
	// The number of entries that came.
	Entries int64 `log:"entries"`
}

// Another entry of a known server.
type serverChanged struct {
	_ struct{} `msg:"server changed" level:"info"`
	serverEntry
}

// The server is no longer counted on.
type serverGone struct {
	_ struct{} `msg:"server gone" level:"info"`
	server
}

// Another instance tells that a server has ended under a request.
type endReceived struct {
	_ struct{} `msg:"end under a request heard" level:"info"`
	fingerprint
	// Servers that have ended under the request so far.
	Ends int64 `log:"ends"`
}

// The other instances cannot be told which servers ended under which requests; it is tried again.
type endsNotPublished struct {
	_ struct{} `msg:"ends of servers not told" level:"warning"`
	// How many.
	Ends int64 `log:"ends"`
	failure
}

// The server's entry may have lapsed with the store.
type entryVanished struct {
	_ struct{} `msg:"server entry vanished around an outage of the store, kept for now" level:"info"`
	// Id of the backend server.
	Server string `log:"server"`
}

// An entry of a backend server that came after a newer one, or is of an earlier start, changes nothing.
type lateEntry struct {
	_ struct{} `msg:"late entry ignored" level:"warning"`
	// Id of the backend server.
	Server string `log:"server"`
	// The revision of the entry.
	Revision int64 `log:"revision"`
	// The revision of the one that is known.
	Known int64 `log:"known"`
	// The era of the store that the entry is of.
	Era int64 `log:"era"`
	// The era of the one that is known.
	KnownEra int64 `log:"known_era"`
}

// The store came back from a copy that still has the entry of a server which has left; it gets no new work for now.
type restoredEntry struct {
	_ struct{} `msg:"entry of a server that has left is there again" level:"info"`
	server
}

// The store came back without its latest writes, and gives their revisions out again.
type lostWrites struct {
	_ struct{} `msg:"store has lost writes" level:"warning"`
	feed
	// How often the store has lost writes, as it counts.
	Era int64 `log:"era"`
	// The same before.
	Was int64 `log:"was"`
	// The revision of the store.
	At int64 `log:"at"`
	// The revision up to which the feed was known.
	Held int64 `log:"held"`
}

// A feed was read whole, and the store had not come as far as was known.
type earlierPosition struct {
	_ struct{} `msg:"feed read at an earlier position" level:"warning"`
	feed
	// The revision of the store.
	At int64 `log:"at"`
	// The revision up to which the feed was known.
	Held int64 `log:"held"`
	// The era of the store that the reading is of.
	Era int64 `log:"era"`
	// The era of what was known.
	HeldEra int64 `log:"held_era"`
}

// A server says in an answer that it leaves, whatever its entry says: it gets no new work.
type leaveNotice struct {
	_ struct{} `msg:"server says that it leaves" level:"warning"`
	request
	server
}

// A server turned a request away and wants nothing from this instance for a time.
type serverBackOff struct {
	_ struct{} `msg:"server wants nothing yet" level:"warning"`
	request
	server
	// What it asked for.
	RetryAfterMS int64 `log:"retry_after_ms"`
	// For how long it is left alone.
	LeftAloneMS int64 `log:"left_alone_ms"`
	// Whether it was left alone already.
	Again bool `log:"again"`
}

// A server names in an answer how many requests it takes from all instances together; without a request it was a report.
type serverLimit struct {
	_ struct{} `msg:"server names a limit" level:"warning"`
	request
	server
	// Requests a second.
	LimitPerS float64 `log:"limit_per_s"`
	// The number of instances that share the limit.
	Instances int64 `log:"instances"`
	// The time between two requests of this instance.
	PeriodMS int64 `log:"period_ms"`
}

// A server that had named a limit names none in an answer.
type serverLimitRemoved struct {
	_ struct{} `msg:"server names no limit any more" level:"warning"`
	request
	server
}

// A server gives no answer to the question how it is.
type noAnswer struct {
	_ struct{} `msg:"server does not answer" level:"warning"`
	noRequest
	server
	// What gave reason to ask.
	Why string `log:"why"`
	failure
}

// A server's answer to the question how it is cannot be read; what was known stays.
type reportNotReadable struct {
	_ struct{} `msg:"report not readable" level:"warning"`
	noRequest
	server
	// What gave reason to ask.
	Why string `log:"why"`
	failure
}

// Another start of a server answers at its address: what it ran is lost.
type otherIncarnationAnswers struct {
	_ struct{} `msg:"another start of the server answers" level:"warning"`
	noRequest
	server
	// The start that was known, in milliseconds since 1970.
	Born int64 `log:"born"`
	// The start that answers.
	Answers int64 `log:"answers"`
}

// A newer entry of a server tells that it has started again under its id: what it ran is lost.
type newerIncarnation struct {
	_ struct{} `msg:"server started again" level:"info"`
	server
	// The start that was known, in milliseconds since 1970.
	Born int64 `log:"born"`
}

// An entry is none that a server writes of itself. A server that was known is not used until there is a good one.
type entryUnusable struct {
	_ struct{} `msg:"entry names no server to use" level:"warning"`
	// Id that the entry stands under.
	Server string `log:"server"`
	// The first field that is wrong.
	Field string `log:"field"`
	// How the field begins.
	Value string `log:"value"`
	failure
}

// A server holds other layers than its entry says.
type otherLayers struct {
	_ struct{} `msg:"server holds other layers" level:"warning"`
	serverReport
}

// A server has hardly any memory left.
type serverFull struct {
	_ struct{} `msg:"server is full" level:"warning"`
	serverReport
}

// A server is slower than usual.
type serverSlow struct {
	_ struct{} `msg:"server is slow" level:"warning"`
	serverReport
}

// A server that was doubted is well.
type serverNormal struct {
	_ struct{} `msg:"server is well" level:"info"`
	serverReport
}
