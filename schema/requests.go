package schema

// The request is refused, since a path is unlikely to have room for it in time.
type roomTooLate struct {
	_ struct{} `msg:"room would come too late" level:"warning"`
	waitForecast
}

// A wait for room has ended.
type waitedForRoom struct {
	_ struct{} `msg:"waited for room" level:"info"`
	waitForecast
	// How long the request waited.
	WaitedMS int64 `log:"waited_ms"`
	// Whether the request got a path with room.
	Came bool `log:"came"`
}

// A service has a complete path again.
type pathRegained struct {
	_ struct{} `msg:"path regained" level:"info"`
	request
	// The service.
	Service string `log:"service"`
	// How long it had none.
	SpellMS int64 `log:"spell_ms"`
}

// The request ended without having run (jxd serve).
type refused struct {
	_ struct{} `msg:"refused" level:"warning"`
	decisionFields
	// Why the request was refused.
	Reason string `log:"reason"`
	// Always not_run.
	Fate string `log:"fate"`
	// Retry-After time that the caller was given.
	RetryAfterMS int64 `log:"retry_after_ms"`
	// How long the caller was willing to wait.
	WaitMS int64 `log:"wait_ms"`
	// Whether the time was predicted from the load of the failure domain (domain) or from the instance's streams (own).
	Forecast string `log:"forecast,optional"`
	quarantinedPart
}

// The request ended because the configuration in force does not have its route or its key.
type denied struct {
	_ struct{} `msg:"denied" level:"warning"`
	decisionFields
	// What the configuration does not have.
	Reason string `log:"reason"`
	// HTTP status of the answer.
	Status int64 `log:"status"`
}

// The request ended without an answer and may have run.
type givenUp struct {
	_ struct{} `msg:"given up" level:"warning"`
	decisionFields
	// Why the request was given up.
	Reason string `log:"reason"`
	// Always unknown.
	Fate string `log:"fate"`
	// HTTP status of the answer.
	Status int64 `log:"status"`
	quarantinedPart
}

// The stream ended early: it had begun and could not be resumed.
type brokenOff struct {
	_ struct{} `msg:"broken off" level:"warning"`
	decisionFields
	// Always broken.
	Reason string `log:"reason"`
	// Why the last attempt failed; empty if the time of the request was over.
	LastAttempt string `log:"last_attempt"`
	// Number of the last event that was passed on; -1 before the first.
	LastEvent int64 `log:"last_event"`
	// Number of servers that may have run the request.
	Runs int64 `log:"runs"`
	// Limit on the number of servers that may run the request.
	MostRuns int64 `log:"most_runs"`
	// How long the stream has had no event.
	StillMS int64 `log:"still_ms"`
	// How long callers of the route wait for the next event before they disconnect.
	PatienceMS int64 `log:"patience_ms"`
}

// The request ended with a failure of the server itself, which was passed on to the caller.
type failurePassedOn struct {
	_ struct{} `msg:"failure passed on" level:"warning"`
	decisionFields
	// How the server failed.
	Reason string `log:"reason"`
}

// The request ended because its caller disconnected.
type callerDisconnected struct {
	_ struct{} `msg:"finished" level:"warning"`
	decisionFields
	// Always "caller left".
	Outcome string `log:"outcome"`
}

// The request ended with an answer that was passed on completely.
type finished struct {
	_ struct{} `msg:"finished" level:"info"`
	decisionFields
	// Always whole: the answer is complete.
	Outcome string `log:"outcome"`
	// Time until the first event of a stream was passed on.
	FirstEventMS int64 `log:"first_event_ms,optional"`
	// Longest pause between two events of a stream.
	LongestPauseMS int64 `log:"longest_pause_ms,optional"`
	// Number of times that the path of a stream was repaired.
	Repairs int64 `log:"repairs,optional"`
	// Number of events of a stream.
	Events int64 `log:"events,optional"`
}
