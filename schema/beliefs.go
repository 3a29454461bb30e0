package schema

// The instance starts.
type started struct {
	_ struct{} `msg:"started" level:"info"`
	// Address for callers (jxd serve).
	Callers string `log:"callers,optional"`
	// Address of the store (jxd serve).
	Store string `log:"store,optional"`
}

// The instance (jxd run) has its first configuration.
type serving struct {
	_ struct{} `msg:"serving" level:"info"`
}

// The instance was told to stop.
type stopping struct {
	_ struct{} `msg:"stopping" level:"info"`
	// Requests in progress (jxd serve).
	Running int64 `log:"running,optional"`
	// How long stopping may take (jxd serve).
	GraceMS int64 `log:"grace_ms,optional"`
}

// The instance has stopped.
type stopped struct {
	_ struct{} `msg:"stopped" level:"info"`
	// Requests in progress (jxd serve).
	Running int64 `log:"running,optional"`
	// How long stopping took (jxd serve).
	TookMS int64 `log:"took_ms,optional"`
	// Whether no request was in progress (jxd run).
	Idle bool `log:"idle,optional"`
}

// An event that the instance's state machine does not allow in its present state: a bug of junctioncross.
type unexpectedEvent struct {
	_ struct{} `msg:"unexpected event" level:"error"`
	failure
}

// The settings file was reloaded.
type settingsReloaded struct {
	_ struct{} `msg:"settings reloaded" level:"info"`
	// Whether some of the changes take effect only after a restart.
	NeedsRestart bool `log:"needs_restart"`
}

// The settings file was read again and cannot be used.
type settingsNotReloaded struct {
	_ struct{} `msg:"settings not reloaded, the former ones stay in force" level:"error"`
	failure
}

// The answer to the readiness check of the load balancer changed.
type readiness struct {
	_ struct{} `msg:"readiness changed" level:"info"`
	// Whether the load balancer should send requests to this instance.
	Ready bool `log:"ready"`
	// Why the instance is or is not ready.
	Reason string `log:"reason"`
	// How long ago the configuration was confirmed.
	ConfigAgeMS int64 `log:"config_age_ms"`
}

// A request for metrics could not be answered.
type metricsNotWritten struct {
	_ struct{} `msg:"metrics not written" level:"warning"`
	failure
}

// A request for the load could not be answered.
type loadNotWritten struct {
	_ struct{} `msg:"load not written" level:"warning"`
	failure
}

// The machine was suspended while its monotonic clock stood still; what the instance learned before counts as older by
// that time.
type machineSuspended struct {
	_ struct{} `msg:"machine was suspended" level:"warning"`
	// How long the machine was suspended.
	GapMS int64 `log:"gap_ms"`
}

// The instance has more work than it can do in time, so that it closes a part of callers' new connections unread.
type instanceOverloaded struct {
	_ struct{} `msg:"instance is overloaded" level:"warning"`
	ownLoad
}

// The instance takes all new connections again.
type instanceHasRoom struct {
	_ struct{} `msg:"instance has room again" level:"info"`
	ownLoad
}

// ownLoad is what the instance uses of its limits, as a part of what requests may use of them.
type ownLoad struct {
	// The resource that is scarcest: processor, link, memory or delay.
	Resource string `log:"resource"`
	// Use of the processor.
	Processor float64 `log:"processor"`
	// Use of the network link, by what is sent.
	Link float64 `log:"link"`
	// Use of the memory.
	Memory float64 `log:"memory"`
	// By how much the process lately got the processor too late.
	DelayMS int64 `log:"delay_ms"`
	// The share of new connections that is taken.
	Taken float64 `log:"taken"`
	// Number of connections that were closed unread since the start.
	Shed int64 `log:"shed"`
}

// The boot clock, which also counts the time of suspension, could not be read.
type clockNotRead struct {
	_ struct{} `msg:"clock not read" level:"error"`
	failure
}

// Requests for a feed of the store fail.
type dependencyLost struct {
	_ struct{} `msg:"dependency lost" level:"warning"`
	// Always store.
	Dependency string `log:"dependency"`
	feed
	failure
}

// Requests for a feed of the store succeed again.
type dependencyRegained struct {
	_ struct{} `msg:"dependency regained" level:"info"`
	// Always store.
	Dependency string `log:"dependency"`
	feed
}

// Updates of a feed come from another upstream than before.
type feedSourceChanged struct {
	_ struct{} `msg:"feed heard from elsewhere" level:"info"`
	feed
	// The upstream: store, or the address of a relay.
	From string `log:"from"`
}

// The answer of another instance to a poll holds a value that can't be true. Without a position or a time nothing of its feed is used; a
// record with such a revision counts as of the position of the answer.
type relayValueNotUsed struct {
	_ struct{} `msg:"value of a relay's answer not used" level:"warning"`
	// The feed: configuration, servers or quarantine.
	Feed string `log:"feed"`
	// The address of the relay.
	Upstream string `log:"upstream"`
	// What can't be true: at, the position; known, the time in nanoseconds up to which the answer holds; or revision.
	Field string `log:"field"`
	// Its value, the first one if there are several.
	Value int64 `log:"value"`
	// Number of records, or 1.
	Records int64 `log:"records"`
}

// Requests for a feed to an upstream fail; only the first of consecutive failures is logged.
type feedRequestFailed struct {
	_ struct{} `msg:"feed not heard" level:"warning"`
	feed
	// The upstream: store, or the address of a relay.
	From string `log:"from"`
	failure
}

// A configuration of the platform came into force (jxd serve).
type inForce struct {
	_ struct{} `msg:"configuration in force" level:"info"`
	// Version of the configuration.
	Version int64 `log:"version"`
}

// A configuration came into force (jxd run).
type inForceJxdRun struct {
	_ struct{} `msg:"configuration in force" level:"info"`
	// Revision of the configuration.
	Revision int64 `log:"revision"`
}

// A configuration was older than the one in force and is ignored.
type olderConfigIgnored struct {
	_ struct{} `msg:"older configuration ignored" level:"warning"`
	// Version of the configuration.
	Version int64 `log:"version"`
	// The version in force.
	InForce int64 `log:"in_force"`
}

// A configuration or an entry in the store cannot be decoded.
type valueNotReadable struct {
	_ struct{} `msg:"value not readable, the former one stays in force" level:"error"`
	// The key in the store.
	Key string `log:"key"`
	failure
}

// The number of sequences for which the paths of a service have memory; a lane is a path with that number.
type lanes struct {
	_ struct{} `msg:"lanes" level:"info"`
	noRequest
	// The service.
	Service string `log:"service"`
	// Number of lanes.
	Lanes int64 `log:"lanes"`
	// Sequences on paths within the instance's own domain.
	OwnDomain int64 `log:"own_domain"`
	// Sequences on paths within another domain.
	OtherDomains int64 `log:"other_domains"`
	// Sequences on paths that cross domains.
	Crossing int64 `log:"crossing"`
}

// The totals of the load reports of the instance's domain have become known for a service; retry times are predicted from them.
type domainLoadKnown struct {
	_ struct{} `msg:"domain load known" level:"info"`
	noRequest
	// The service.
	Service string `log:"service"`
	// Number of instances whose reports are included.
	Instances int64 `log:"instances"`
	// Mean age of these reports.
	AgeMS int64 `log:"age_ms"`
}

// The totals of the load reports of the instance's domain are too old or missing; retry times are predicted from the instance's
// own streams.
type domainLoadUnknown struct {
	_ struct{} `msg:"domain load unknown" level:"warning"`
	noRequest
	// The service.
	Service string `log:"service"`
}

// Retries for a service were requested from the retry budget; logged at most once a second for each service.
type retries struct {
	_ struct{} `msg:"repeats" level:"info"`
	noRequest
	// The service.
	Service string `log:"service"`
	retryBudget
}

// The number of instances with a registration record changed; in a small fleet all instances have one, in a large fleet
// some of each domain.
type instancesCounted struct {
	_ struct{} `msg:"instances counted" level:"info"`
	// Number of instances with a record.
	Instances int64 `log:"instances"`
	// The previous number.
	Before int64 `log:"before"`
}

// The registration record of an instance, or the number of instances that a relay has counted, holds a value that can't be true.
type recordValueNotUsed struct {
	_ struct{} `msg:"value of another instance's record not used" level:"warning"`
	// Name or address of the instance, or the failure domain.
	About string `log:"about"`
	// What can't be true: name, power or instances.
	Field string `log:"field"`
	// Its value.
	Value string `log:"value"`
}

// The registration records cannot be read.
type instancesNotCounted struct {
	_ struct{} `msg:"instances not counted" level:"warning"`
	failure
}

// The instance's own registration record cannot be written.
type recordNotWritten struct {
	_ struct{} `msg:"record of the instance not written" level:"warning"`
	failure
}

// The instance's own registration record has expired; the instance writes a new one.
type recordEnded struct {
	_ struct{} `msg:"record of the instance has ended" level:"warning"`
}

// Another, more powerful instance has overwritten the registration record of this one.
type recordReplaced struct {
	_ struct{} `msg:"record of the instance was replaced" level:"warning"`
}

// The fleet key, by which instances authenticate to each other, cannot be written.
type keyNotWritten struct {
	_ struct{} `msg:"the fleet's key not written" level:"warning"`
	failure
}

// The lease of the instance's own registration record cannot be renewed.
type recordNotRenewed struct {
	_ struct{} `msg:"record of the instance not renewed" level:"warning"`
	failure
}

// A connection from another instance was refused, because its authentication failed.
type peerRefused struct {
	_ struct{} `msg:"link peer refused" level:"warning"`
	failure
}

// A call of an operator was refused or failed.
type operatorRefused struct {
	_ struct{} `msg:"operator refused" level:"info"`
	// Name in the operator's certificate.
	Operator string `log:"operator"`
	// Path of the call.
	Path string `log:"path"`
	failure
}

// An operator confirmed a plan.
type planConfirmed struct {
	_ struct{} `msg:"plan confirmed" level:"info"`
	// Name in the operator's certificate.
	Operator string `log:"operator"`
	// Id of the plan.
	Plan string `log:"plan"`
	// The revision of the configuration that resulted.
	Revision int64 `log:"revision"`
}

// A part of the instance panicked: a fault of the program.
type partPanicked struct {
	_ struct{} `msg:"part panicked" level:"error"`
	// The part of the instance.
	Part string `log:"part"`
	// The value of the panic.
	Panic string `log:"panic"`
	// The stack of the goroutine, innermost function first, cut after some thousand bytes.
	Stack string `log:"stack"`
	// Version of the configuration in force; 0 if none was at work.
	Config int64 `log:"config"`
	// The service that the part was working on, if any.
	Service string `log:"service"`
	// Key of the record in the store that the part was working on, if any.
	Record string `log:"record"`
	// The store's revision of that record.
	Revision int64 `log:"revision"`
	// The lease under which the part works; 0 if none.
	Lease int64 `log:"lease"`
}
