package schema

// A stream resumes on a path with another first server, since its present one is leaving or drops its layers.
type handedOver struct {
	_ struct{} `msg:"handed over" level:"warning"`
	firstServerChange
}

// The first server of a stream's path does not answer or does not know the stream, which resumes on another path.
type firstServerSilent struct {
	_ struct{} `msg:"first part is silent" level:"warning"`
	firstServerChange
}

// A stream that has begun cannot be resumed yet.
type waitsToResume struct {
	_ struct{} `msg:"waits to go on" level:"warning"`
	decisionFields
	// What prevents it.
	Reason string `log:"reason"`
	// Number of the last event that was passed on; -1 before the first.
	LastEvent int64 `log:"last_event"`
	// How long the stream has had no event.
	StillMS int64 `log:"still_ms"`
	// Number of servers that may still be running the request.
	Standing int64 `log:"standing"`
	// Limit on the number of servers that may run the request.
	MostRuns int64 `log:"most_runs"`
	// Number of instances among which the retry budget is divided.
	Instances int64 `log:"instances"`
}

// The lost servers behind the first one of a path were replaced.
type repaired struct {
	_ struct{} `msg:"repaired" level:"warning"`
	pathChange
}

// The first server did not accept the repaired path.
type notRepaired struct {
	_ struct{} `msg:"not repaired" level:"warning"`
	pathChangeRefused
}

// No path without the lost servers is known.
type noPathForRepair struct {
	_ struct{} `msg:"no path for a repair" level:"warning"`
	request
	// The path in use.
	Path string `log:"path"`
	// How long the stream has had no event.
	StillMS int64 `log:"still_ms"`
}

// Leaving servers behind the first one of a path were replaced.
type evacuated struct {
	_ struct{} `msg:"evacuated" level:"warning"`
	pathChange
}

// The first server did not accept the path without the leaving servers.
type notEvacuated struct {
	_ struct{} `msg:"not evacuated" level:"warning"`
	pathChangeRefused
}
