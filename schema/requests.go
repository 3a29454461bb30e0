package schema

// A stream was sent along a path.
type sentStream struct {
	_ struct{} `msg:"sent" level:"info"`
	decisionFields
	// Id of the first server of the path.
	Server string `log:"server"`
	// Number of the attempt.
	Attempt int64 `log:"attempt"`
	// The servers of the path with their layers.
	Path string `log:"path"`
	// Predicted time of a step.
	PredictedStepUS int64 `log:"predicted_step_us"`
	// Predicted time to read the prompt (prefill).
	PredictedReadUS int64 `log:"predicted_read_us"`
	// Number of tokens for which memory was reserved.
	Tokens int64 `log:"tokens"`
	// Share of the lane's memory that was estimated to be in use.
	LaneLoad float64 `log:"lane_load"`
	// Whether this is a returning caller: one that was refused before.
	Returned bool `log:"returned"`
	// Id of the event after which the stream resumes; empty if it starts from the beginning.
	ResumeAfter string `log:"resume_after"`
}

// A request of a plain service was sent to a server.
type sentPlain struct {
	_ struct{} `msg:"sent" level:"info"`
	decisionFields
	server
	// Number of the attempt.
	Attempt int64 `log:"attempt"`
	// Number of requests of this instance on the server, including this one.
	OwnRunning int64 `log:"own_running"`
}

// A server refused the request; it has not run there.
type refusedByServer struct {
	_ struct{} `msg:"turned away" level:"warning"`
	decisionFields
	server
	// HTTP status of the answer.
	Status int64 `log:"status"`
	// Address of the server on the path that caused the refusal, if the answer names one.
	Fault string `log:"fault"`
	// Back-off that the server asked this instance for; 0 if it asked for none.
	RetryAfterMS int64 `log:"retry_after_ms"`
	// Whether the answer says that the server is leaving.
	Leaving bool `log:"leaving"`
}

// The stream from a server ended before the answer was complete.
type streamBroken struct {
	_ struct{} `msg:"attempt broken" level:"warning"`
	decisionFields
	server
	// The path that the stream used.
	Path string `log:"path"`
	// How the answer ended.
	Error string `log:"error"`
	// Number of the last event that was passed on; -1 before the first.
	LastEvent int64 `log:"last_event"`
	// Number of servers that may have run the request.
	Runs int64 `log:"runs"`
	// Whether the server's entry has vanished from the store.
	Gone bool `log:"gone"`
	// How long the server has been known to be leaving.
	LeavingMS int64 `log:"leaving_ms"`
	fingerprint
}

// The answer of a plain service ended before it was complete.
type plainBroken struct {
	_ struct{} `msg:"attempt broken" level:"warning"`
	decisionFields
	server
	fingerprint
	// The reason that the failure is counted under.
	Reason string `log:"reason"`
	// How the answer ended.
	Error string `log:"error"`
}

// A server terminated shortly after it had started to run the request.
type terminatedUnderRequest struct {
	_ struct{} `msg:"server ended under a request" level:"warning"`
	request
	server
	fingerprint
	// Number of servers that have terminated while they ran the request, so far.
	Ends int64 `log:"ends"`
}

// A server has run the request without terminating, although others had terminated under it: the request is cleared.
type requestCleared struct {
	_ struct{} `msg:"request proved harmless" level:"warning"`
	request
	fingerprint
	// Number of servers that had terminated while they ran the request.
	Ends int64 `log:"ends"`
}

// The request is not retried, since the instance's share of the retry budget is spent.
type noRetry struct {
	_ struct{} `msg:"no repeat" level:"warning"`
	decisionFields
	retryBudget
	// Always repeat_budget_spent.
	Reason string `log:"reason"`
}

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

// A backend server failed in its stage of an attempt (jxd run).
type stageFailed struct {
	_ struct{} `msg:"stage failed" level:"warning"`
	attemptJxdRun
	// Name of the backend server.
	Server string `log:"server"`
	failure
}

// The request ended without the requested answer (jxd run).
type refusedJxdRun struct {
	_ struct{} `msg:"refused" level:"warning"`
	requestJxdRun
	// Why the request was refused.
	Reason string `log:"reason"`
	// Whether the request has run: not_run, ran or unknown.
	Fate string `log:"fate"`
	// HTTP status of the answer.
	Status int64 `log:"status"`
	// Retry-After time that the caller was given; 0 if none.
	RetryAfterMS int64 `log:"retry_after_ms"`
}

// The stream ended early: it had begun and could not be resumed (jxd run).
type brokenOffJxdRun struct {
	_ struct{} `msg:"broken off" level:"warning"`
	requestJxdRun
	// Why the stream was broken off.
	Reason string `log:"reason"`
	// Whether the request has run: not_run or unknown.
	Fate string `log:"fate"`
	// Number of tokens that were passed on.
	Tokens int64 `log:"tokens"`
	failure
}

// The stream ended because its caller no longer reads it (jxd run).
type cutByCaller struct {
	_ struct{} `msg:"stream cut by the caller" level:"warning"`
	requestJxdRun
	// Number of tokens that were passed on.
	Tokens int64 `log:"tokens"`
	failure
}

// The request ended with an answer that was passed on completely (jxd run).
type finishedJxdRun struct {
	_ struct{} `msg:"finished" level:"info"`
	requestJxdRun
	// Always whole: the answer is complete.
	Outcome string `log:"outcome"`
	// HTTP status of the answer.
	Status int64 `log:"status"`
	// Number of tokens of a stream.
	Tokens int64 `log:"tokens,optional"`
}

// An event that the state machine of an attempt does not allow in its present state: a bug of junctioncross (jxd run).
type unexpectedInAttempt struct {
	_ struct{} `msg:"unexpected event" level:"error"`
	attemptJxdRun
	failure
}
