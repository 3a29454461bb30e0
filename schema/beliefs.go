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
type unexpectedEvent struct {
	_ struct{} `msg:"unexpected event" level:"error"`
	failure
}

// Settings were read again.
type settingsReloaded struct {
	_ struct{} `msg:"settings reloaded" level:"info"`
	// Whether some of the changes wait for a restart.
	NeedsRestart bool `log:"needs_restart"`
}

// Settings that were read again cannot be used.
type settingsNotReloaded struct {
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
type machineSuspended struct {
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
type dependencyLost struct {
	_ struct{} `msg:"dependency lost" level:"warning"`
	// store.
	Dependency string `log:"dependency"`
	feed
	failure
}

// A feed of the store is heard again.
type dependencyRegained struct {
	_ struct{} `msg:"dependency regained" level:"info"`
	// store.
	Dependency string `log:"dependency"`
	feed
}

// A feed comes from another place than before.
type feedSourceChanged struct {
	_ struct{} `msg:"feed heard from elsewhere" level:"info"`
	feed
	// store, or the address of a relay.
	From string `log:"from"`
}

// A place does not give a feed; the first failure of a row.
type feedRequestFailed struct {
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
type inForceJxdRun struct {
	_ struct{} `msg:"configuration in force" level:"info"`
	// Its revision.
	Revision int64 `log:"revision"`
}

// A configuration was older than the one in force.
type olderConfigIgnored struct {
	_ struct{} `msg:"older configuration ignored" level:"warning"`
	// Its version.
	Version int64 `log:"version"`
	// The version in force.
	InForce int64 `log:"in_force"`
}

// A configuration or an entry cannot be read.
type valueNotReadable struct {
	_ struct{} `msg:"value not readable, the former one stays in force" level:"error"`
	// Its key in the store.
	Key string `log:"key"`
	failure
}

// For how many sequences the paths of a service have memory.
type lanes struct {
	_ struct{} `msg:"lanes" level:"info"`
	noRequest
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
type retries struct {
	_ struct{} `msg:"repeats" level:"info"`
	noRequest
	// The service.
	Service string `log:"service"`
	retryBudget
}

// The instances that have a record: all of a small fleet, some of each domain of a large one.
type instancesCounted struct {
	_ struct{} `msg:"instances counted" level:"info"`
	// How many.
	Instances int64 `log:"instances"`
	// How many there were before.
	Before int64 `log:"before"`
}

// The records cannot be read.
type instancesNotCounted struct {
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
type planConfirmed struct {
	_ struct{} `msg:"plan confirmed" level:"info"`
	// Name in the operator's certificate.
	Operator string `log:"operator"`
	// Id of the plan.
	Plan string `log:"plan"`
	// The revision that came of it.
	Revision int64 `log:"revision"`
}
