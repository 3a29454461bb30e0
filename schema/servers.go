package schema

// The first entry of a server was read.
type serverKnown struct {
	_ struct{} `msg:"server known" level:"info"`
	serverEntry
}

// Entries of many servers were read at once; they get no lines of their own.
type serversKnown struct {
	_ struct{} `msg:"servers known" level:"info"`
	// Number of servers that are known now.
	Servers int64 `log:"servers"`
	// Number of entries that were read.
	Entries int64 `log:"entries"`
}

// A new entry of a known server was read.
type serverChanged struct {
	_ struct{} `msg:"server changed" level:"info"`
	serverEntry
}

// The server's entry was removed; the server gets no new work.
type serverGone struct {
	_ struct{} `msg:"server gone" level:"info"`
	server
}

// Another instance reports that a server terminated while it ran a request.
type endReceived struct {
	_ struct{} `msg:"end under a request heard" level:"info"`
	fingerprint
	// Number of servers that have terminated while they ran the request, so far.
	Ends int64 `log:"ends"`
}

// What another instance reports of a server that terminated while it ran a request can't be written to the store; it is left out.
type endNotUsed struct {
	_ struct{} `msg:"end of another instance not used" level:"warning"`
	fingerprint
	// What is wrong: server, attempt or service.
	Field string `log:"field"`
	// The start of its value.
	Value string `log:"value"`
}

// The records of servers that terminated under requests could not be published to the other instances; it is tried again.
type endsNotPublished struct {
	_ struct{} `msg:"ends of servers not told" level:"warning"`
	// Number of records that are not published yet.
	Ends int64 `log:"ends"`
	failure
}

// The server's entry may have vanished only because its lease expired while the store was unavailable.
type entryVanished struct {
	_ struct{} `msg:"server entry vanished around an outage of the store, kept for now" level:"info"`
	// Id of the backend server.
	Server string `log:"server"`
}

// An entry of a server is ignored, because it is older than the known one or of an earlier incarnation of the server.
type lateEntry struct {
	_ struct{} `msg:"late entry ignored" level:"warning"`
	// Id of the backend server.
	Server string `log:"server"`
	// Revision of the entry.
	Revision int64 `log:"revision"`
	// Revision of the known entry.
	Known int64 `log:"known"`
	// Era of the store to which the entry belongs.
	Era int64 `log:"era"`
	// Era of the known entry.
	KnownEra int64 `log:"known_era"`
}

// The store was restored from a copy that still has the entry of a server that has left; the server gets no new work for now.
type restoredEntry struct {
	_ struct{} `msg:"entry of a server that has left is there again" level:"info"`
	server
}

// The store has come back without its latest writes and assigns their revisions again, in a new era.
type lostWrites struct {
	_ struct{} `msg:"store has lost writes" level:"warning"`
	feed
	// The new era: how many times the store has lost writes, by its own count.
	Era int64 `log:"era"`
	// The previous era.
	Was int64 `log:"was"`
	// Revision of the store.
	At int64 `log:"at"`
	// Revision up to which the feed was known.
	Held int64 `log:"held"`
}

// A full read of a feed returned an earlier position of the store than was known.
type earlierPosition struct {
	_ struct{} `msg:"feed read at an earlier position" level:"warning"`
	feed
	// Revision of the store.
	At int64 `log:"at"`
	// Revision up to which the feed was known.
	Held int64 `log:"held"`
	// Era of the store at the time of the read.
	Era int64 `log:"era"`
	// Era of the position that was known.
	HeldEra int64 `log:"held_era"`
}

// A server says in an answer that it is leaving (a leave notice); it gets no new work, whatever its entry says.
type leaveNotice struct {
	_ struct{} `msg:"server says that it leaves" level:"warning"`
	request
	server
}

// A server refused a request and asked this instance to back off for a time.
type serverBackOff struct {
	_ struct{} `msg:"server wants nothing yet" level:"warning"`
	request
	server
	// Back-off that the server asked for.
	RetryAfterMS int64 `log:"retry_after_ms"`
	// Back-off that the instance keeps.
	LeftAloneMS int64 `log:"left_alone_ms"`
	// Whether the server was backed off already.
	Again bool `log:"again"`
}

// A server names a rate limit for the requests of all instances together, in an answer or, where the request is empty, in its
// report.
type serverLimit struct {
	_ struct{} `msg:"server names a limit" level:"warning"`
	request
	server
	// Requests a second.
	LimitPerS float64 `log:"limit_per_s"`
	// Number of instances that share the limit.
	Instances int64 `log:"instances"`
	// Time between two requests of this instance.
	PeriodMS int64 `log:"period_ms"`
}

// A server that had named a rate limit names none in an answer.
type serverLimitRemoved struct {
	_ struct{} `msg:"server names no limit any more" level:"warning"`
	request
	server
}

// A server did not answer a state query.
type noAnswer struct {
	_ struct{} `msg:"server does not answer" level:"warning"`
	noRequest
	server
	// Why the server was queried.
	Why string `log:"why"`
	failure
}

// A server has answered a state query again after it had left some unanswered.
type answersAgain struct {
	_ struct{} `msg:"server answers again" level:"warning"`
	noRequest
	server
	// Time between the first and the last query that it left unanswered, in milliseconds.
	SilentMS int64 `log:"silent_ms"`
}

// A server's answer to a state query cannot be decoded; what was known of the server stays valid.
type reportNotReadable struct {
	_ struct{} `msg:"report not readable" level:"warning"`
	noRequest
	server
	// Why the server was queried.
	Why string `log:"why"`
	failure
}

// A later incarnation of a server answers at its address; the requests that the earlier one ran are lost.
type otherIncarnationAnswers struct {
	_ struct{} `msg:"another start of the server answers" level:"warning"`
	noRequest
	server
	// Start time of the known incarnation, in milliseconds since 1970.
	Born int64 `log:"born"`
	// Start time of the incarnation that answers.
	Answers int64 `log:"answers"`
}

// A newer entry of a server shows that it was restarted under the same id; the requests that it ran before are lost.
type newerIncarnation struct {
	_ struct{} `msg:"server started again" level:"info"`
	server
	// Start time of the known incarnation, in milliseconds since 1970.
	Born int64 `log:"born"`
}

// An entry is malformed or names no known service. If its server was known, it is not used until there is a valid entry.
type entryUnusable struct {
	_ struct{} `msg:"entry names no server to use" level:"warning"`
	// Id under which the entry is stored.
	Server string `log:"server"`
	// The first invalid field.
	Field string `log:"field"`
	// The beginning of the field's value.
	Value string `log:"value"`
	failure
}

// Many servers at once do not fit the model in force, or fit again; each of them alone has a line as for one entry.
type serversMisfit struct {
	_ struct{} `msg:"servers do not fit the model" level:"warning"`
	// Number of servers that are known.
	Servers int64 `log:"servers"`
	// Number of those that do not fit, and are not used.
	Misfits int64 `log:"misfits"`
	// Version of the configuration in force.
	Config int64 `log:"config"`
}

// A server reports other layers than its entry.
type otherLayers struct {
	_ struct{} `msg:"server holds other layers" level:"warning"`
	serverReport
}

// A server reports that hardly any of its memory is free.
type serverFull struct {
	_ struct{} `msg:"server is full" level:"warning"`
	serverReport
}

// A server reports that it is slower than usual for its kind.
type serverSlow struct {
	_ struct{} `msg:"server is slow" level:"warning"`
	serverReport
}

// A server that was queried because of a suspicion reports nothing unusual.
type serverNormal struct {
	_ struct{} `msg:"server is well" level:"info"`
	serverReport
}

// A server gets no new work for a moment, because another instance has found it silent, refusing, full or without its layers.
type findingApplied struct {
	_ struct{} `msg:"server out of use by a finding" level:"warning"`
	noRequest
	finding
}

// A server gets new work again, because it has answered since another instance found it silent, refusing, full or without its
// layers.
type findingTakenBack struct {
	_ struct{} `msg:"finding taken back" level:"warning"`
	noRequest
	finding
}

// A report on a server that another instance passed on can't be true, so that it is not used.
type reportNotUsed struct {
	_ struct{} `msg:"report of another instance not used" level:"warning"`
	noRequest
	// Id of the backend server.
	Server string `log:"server"`
	// Name of the field that can't be true; record if the report can't be decoded.
	Field string `log:"field"`
	// Value of the field.
	Value string `log:"value"`
}

// finding is embedded in lines about what another instance has found out about a server.
type finding struct {
	// Id of the backend server.
	Server string `log:"server"`
	// What was found: silent, not listening, refusing, giving up layers, or full.
	Kind string `log:"kind"`
	// Name of the instance that found it.
	Source string `log:"source"`
	// How long ago it was found.
	AgeMS int64 `log:"age_ms"`
}
