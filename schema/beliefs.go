package schema

// The instance starts.
type started struct {
	_ struct{} `msg:"started" level:"info"`
	// Address for callers (jxd serve).
	Callers string `log:"callers,optional"`
	// Address of the store (jxd serve).
	Store string `log:"store,optional"`
}

// The instance of today's interface has its first configuration.
type serving struct {
	_ struct{} `msg:"serving" level:"info"`
}

// The instance was told to stop.
type stopping struct {
	_ struct{} `msg:"stopping" level:"info"`
	// Requests under way (jxd serve).
	Running int64 `log:"running,optional"`
	// How long it may take (jxd serve).
	GraceMS int64 `log:"grace_ms,optional"`
}

// The instance ends.
type stopped struct {
	_ struct{} `msg:"stopped" level:"info"`
	// Requests under way (jxd serve).
	Running int64 `log:"running,optional"`
	// How long it took (jxd serve).
	TookMS int64 `log:"took_ms,optional"`
	// Whether nothing was under way (jxd run).
	Idle bool `log:"idle,optional"`
}

// An event that the instance's chart does not know: a fault of junctioncross.
type unexpected struct {
	_ struct{} `msg:"unexpected event" level:"error"`
	failure
}

// Settings were read again.
type reloaded struct {
	_ struct{} `msg:"settings reloaded" level:"info"`
	// Whether some of the changes wait for a restart.
	NeedsRestart bool `log:"needs_restart"`
}

// Settings that were read again cannot be used.
type notReloaded struct {
	_ struct{} `msg:"settings not reloaded, the former ones stay in force" level:"error"`
	failure
}

// The answer to the balancer's check changed.
type readiness struct {
	_ struct{} `msg:"readiness changed" level:"info"`
	// Whether callers should come here.
	Ready bool `log:"ready"`
	// Why.
	Reason string `log:"reason"`
	// How long ago the configuration was confirmed.
	ConfigAgeMS int64 `log:"config_age_ms"`
}

// A scrape could not be answered.
type metricsNotWritten struct {
	_ struct{} `msg:"metrics not written" level:"warning"`
	failure
}

// The machine stood still while its steady clock did; what was heard before counts as older by that.
type suspendedFor struct {
	_ struct{} `msg:"machine was suspended" level:"warning"`
	// For how long.
	GapMS int64 `log:"gap_ms"`
}

// The clock that counts suspension could not be read.
type clockNotRead struct {
	_ struct{} `msg:"clock not read" level:"error"`
	failure
}

// A feed of the store fails.
type lost struct {
	_ struct{} `msg:"dependency lost" level:"warning"`
	// store.
	Dependency string `log:"dependency"`
	feed
	failure
}

// A feed of the store is heard again.
type regained struct {
	_ struct{} `msg:"dependency regained" level:"info"`
	// store.
	Dependency string `log:"dependency"`
	feed
}

// A feed comes from another place than before.
type heardElsewhere struct {
	_ struct{} `msg:"feed heard from elsewhere" level:"info"`
	feed
	// store, or the address of a relay.
	From string `log:"from"`
}

// A place does not give a feed; the first failure of a row.
type notHeard struct {
	_ struct{} `msg:"feed not heard" level:"warning"`
	feed
	// store, or the address of a relay.
	From string `log:"from"`
	failure
}

// A configuration of the platform came into force.
type inForce struct {
	_ struct{} `msg:"configuration in force" level:"info"`
	// Its version.
	Version int64 `log:"version"`
}

// A configuration of today's interface came into force.
type inForceToday struct {
	_ struct{} `msg:"configuration in force" level:"info"`
	// Its revision.
	Revision int64 `log:"revision"`
}

// A configuration was older than the one in force.
type olderIgnored struct {
	_ struct{} `msg:"older configuration ignored" level:"warning"`
	// Its version.
	Version int64 `log:"version"`
	// The version in force.
	InForce int64 `log:"in_force"`
}

// A configuration or an entry cannot be read.
type notReadable struct {
	_ struct{} `msg:"value not readable, the former one stays in force" level:"error"`
	// Its key in the store.
	Key string `log:"key"`
	failure
}

// The first entry of a server.
type serverKnown struct {
	_ struct{} `msg:"server known" level:"info"`
	entryOf
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
	entryOf
}

// The server is no longer counted on.
type serverGone struct {
	_ struct{} `msg:"server gone" level:"info"`
	server
}

// Another instance tells that a server has ended under a request.
type endHeard struct {
	_ struct{} `msg:"end under a request heard" level:"info"`
	fingerprint
	// Servers that have ended under the request so far.
	Ends int64 `log:"ends"`
}

// The other instances cannot be told which servers ended under which requests; it is tried again.
type endsNotTold struct {
	_ struct{} `msg:"ends of servers not told" level:"warning"`
	// How many.
	Ends int64 `log:"ends"`
	failure
}

// The server's entry may have lapsed with the store.
type vanished struct {
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
type leftoverEntry struct {
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
type saysFarewell struct {
	_ struct{} `msg:"server says that it leaves" level:"warning"`
	request
	server
}

// A server turned a request away and wants nothing from this instance for a time.
type wantsNothing struct {
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
type namesLimit struct {
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
type namesNoLimit struct {
	_ struct{} `msg:"server names no limit any more" level:"warning"`
	request
	server
}

// A server gives no answer to the question how it is.
type noAnswer struct {
	_ struct{} `msg:"server does not answer" level:"warning"`
	belief
	server
	// What gave reason to ask.
	Why string `log:"why"`
	failure
}

// A server's answer to the question how it is cannot be read; what was known stays.
type garbled struct {
	_ struct{} `msg:"report not readable" level:"warning"`
	belief
	server
	// What gave reason to ask.
	Why string `log:"why"`
	failure
}

// Another start of a server answers at its address: what it ran is lost.
type startedAgain struct {
	_ struct{} `msg:"another start of the server answers" level:"warning"`
	belief
	server
	// The start that was known, in milliseconds since 1970.
	Born int64 `log:"born"`
	// The start that answers.
	Answers int64 `log:"answers"`
}

// A newer entry of a server tells that it has started again under its id: what it ran is lost.
type entryOfAnother struct {
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
	answered
}

// A server has hardly any memory left.
type full struct {
	_ struct{} `msg:"server is full" level:"warning"`
	answered
}

// A server is slower than usual.
type slow struct {
	_ struct{} `msg:"server is slow" level:"warning"`
	answered
}

// A server that was doubted is well.
type well struct {
	_ struct{} `msg:"server is well" level:"info"`
	answered
}

// For how many sequences the paths of a service have memory.
type lanes struct {
	_ struct{} `msg:"lanes" level:"info"`
	belief
	// The service.
	Service string `log:"service"`
	// Paths.
	Lanes int64 `log:"lanes"`
	// Sequences of the paths of the own domain.
	OwnDomain int64 `log:"own_domain"`
	// Sequences of the paths of others.
	OtherDomains int64 `log:"other_domains"`
	// Sequences of the paths that cross domains.
	Crossing int64 `log:"crossing"`
}

// Repeats for a service were asked for; at most one line a second.
type repeats struct {
	_ struct{} `msg:"repeats" level:"info"`
	belief
	// The service.
	Service string `log:"service"`
	allowance
}

// The instances that have a record: all of a small fleet, some of each domain of a large one.
type counted struct {
	_ struct{} `msg:"instances counted" level:"info"`
	// How many.
	Instances int64 `log:"instances"`
	// How many there were before.
	Before int64 `log:"before"`
}

// The records cannot be read.
type notCounted struct {
	_ struct{} `msg:"instances not counted" level:"warning"`
	failure
}

// The own record cannot be written.
type recordNotWritten struct {
	_ struct{} `msg:"record of the instance not written" level:"warning"`
	failure
}

// The own record has ended; another one is written.
type recordEnded struct {
	_ struct{} `msg:"record of the instance has ended" level:"warning"`
}

// Another instance has written its record over the own one, which was of less use.
type recordReplaced struct {
	_ struct{} `msg:"record of the instance was replaced" level:"warning"`
}

// The fleet's key cannot be written.
type keyNotWritten struct {
	_ struct{} `msg:"the fleet's key not written" level:"warning"`
	failure
}

// The own record cannot be renewed.
type recordNotRenewed struct {
	_ struct{} `msg:"record of the instance not renewed" level:"warning"`
	failure
}

// An instance could not prove itself.
type peerRefused struct {
	_ struct{} `msg:"link peer refused" level:"warning"`
	failure
}

// An operator's call failed.
type operatorRefused struct {
	_ struct{} `msg:"operator refused" level:"info"`
	// Name in the operator's certificate.
	Operator string `log:"operator"`
	// Path of the call.
	Path string `log:"path"`
	failure
}

// An operator confirmed a plan.
type confirmed struct {
	_ struct{} `msg:"plan confirmed" level:"info"`
	// Name in the operator's certificate.
	Operator string `log:"operator"`
	// Id of the plan.
	Plan string `log:"plan"`
	// The revision that came of it.
	Revision int64 `log:"revision"`
}
