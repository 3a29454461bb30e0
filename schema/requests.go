package schema

// A stream was sent along a path.
type sentStream struct {
	_ struct{} `msg:"sent" level:"info"`
	decisionFields
	// Id of the path's first server.
	Server string `log:"server"`
	// Number of the attempt.
	Attempt int64 `log:"attempt"`
	// The servers with their layers.
	Path string `log:"path"`
	// The predicted time of a step.
	PredictedStepUS int64 `log:"predicted_step_us"`
	// The predicted time to read the prompt.
	PredictedReadUS int64 `log:"predicted_read_us"`
	// Tokens that were reserved.
	Tokens int64 `log:"tokens"`
	// The part of the lane's memory that was thought to be taken.
	LaneLoad float64 `log:"lane_load"`
	// Whether the caller was refused before and came back.
	Returned bool `log:"returned"`
	// Id of the event after which the stream goes on; empty from its start.
	ResumeAfter string `log:"resume_after"`
}

// A request of a plain service was sent to a server.
type sentPlain struct {
	_ struct{} `msg:"sent" level:"info"`
	decisionFields
	server
	// Number of the attempt.
	Attempt int64 `log:"attempt"`
	// Requests of this instance that run on the server, with this one.
	OwnRunning int64 `log:"own_running"`
}

// A server did not take the request; it has not run there.
type refusedByServer struct {
	_ struct{} `msg:"turned away" level:"warning"`
	decisionFields
	server
	// Status of the answer.
	Status int64 `log:"status"`
	// The address that the answer blames, if it names one.
	Fault string `log:"fault"`
	// For how long the server wants nothing from this instance; 0 when it did not say.
	RetryAfterMS int64 `log:"retry_after_ms"`
	// Whether the server says that it leaves.
	Leaving bool `log:"leaving"`
}

// The stream of an answer broke.
type streamBroken struct {
	_ struct{} `msg:"attempt broken" level:"warning"`
	decisionFields
	server
	// The path at that time.
	Path string `log:"path"`
	// How it broke.
	Error string `log:"error"`
	// The last event that was passed on, -1 before the first.
	LastEvent int64 `log:"last_event"`
	// How many servers may have run the request.
	Runs int64 `log:"runs"`
	// Whether the server's entry has vanished.
	Gone bool `log:"gone"`
	// For how long the server has been known to leave.
	LeavingMS int64 `log:"leaving_ms"`
	fingerprint
}

// The answer of a plain service broke.
type plainBroken struct {
	_ struct{} `msg:"attempt broken" level:"warning"`
	decisionFields
	server
	fingerprint
	// How it counts.
	Reason string `log:"reason"`
	// How it broke.
	Error string `log:"error"`
}

// A server has ended while it ran a request that it had just begun.
type terminatedUnderRequest struct {
	_ struct{} `msg:"server ended under a request" level:"warning"`
	request
	server
	fingerprint
	// Servers that have ended under the request so far.
	Ends int64 `log:"ends"`
}

// A server has run a request under which others had ended.
type requestCleared struct {
	_ struct{} `msg:"request proved harmless" level:"warning"`
	request
	fingerprint
	// Servers that had ended under the request.
	Ends int64 `log:"ends"`
}

// The instance's part of the allowed repeats is spent.
type noRetry struct {
	_ struct{} `msg:"no repeat" level:"warning"`
	decisionFields
	retryBudget
	// Why.
	Reason string `log:"reason"`
}

// A stream goes on at another first part, since its own leaves or gives up its layers.
type handedOver struct {
	_ struct{} `msg:"handed over" level:"warning"`
	firstServerChange
}

// The first part of a stream does not answer or does not know it: it goes on elsewhere.
type firstServerSilent struct {
	_ struct{} `msg:"first part is silent" level:"warning"`
	firstServerChange
}

// A stream that has begun cannot go on yet.
type waitsToResume struct {
	_ struct{} `msg:"waits to go on" level:"warning"`
	decisionFields
	// What is in its way.
	Reason string `log:"reason"`
	// The last event that was passed on, -1 before the first.
	LastEvent int64 `log:"last_event"`
	// For how long the stream has had no event.
	StillMS int64 `log:"still_ms"`
	// Servers that may still run the request.
	Standing int64 `log:"standing"`
	// How many may.
	MostRuns int64 `log:"most_runs"`
	// The instances that the allowance is divided by.
	Instances int64 `log:"instances"`
}

// Lost parts of a path were replaced.
type repaired struct {
	_ struct{} `msg:"repaired" level:"warning"`
	pathChange
}

// The first part did not take the new path.
type notRepaired struct {
	_ struct{} `msg:"not repaired" level:"warning"`
	pathChangeRefused
}

// No path without the lost parts is known.
type noPathForRepair struct {
	_ struct{} `msg:"no path for a repair" level:"warning"`
	request
	// The present path.
	Path string `log:"path"`
	// For how long the stream has had no event.
	StillMS int64 `log:"still_ms"`
}

// Parts that leave were replaced.
type evacuated struct {
	_ struct{} `msg:"evacuated" level:"warning"`
	pathChange
}

// The first part did not take the path without parts that leave.
type notEvacuated struct {
	_ struct{} `msg:"not evacuated" level:"warning"`
	pathChangeRefused
}

// The request is refused, since room is not likely to come in time.
type roomTooLate struct {
	_ struct{} `msg:"room would come too late" level:"warning"`
	waitForecast
}

// A wait for room is over.
type waitedForRoom struct {
	_ struct{} `msg:"waited for room" level:"info"`
	waitForecast
	// How long it took.
	WaitedMS int64 `log:"waited_ms"`
	// Whether room came.
	Came bool `log:"came"`
}

// A service has a whole path again.
type pathRegained struct {
	_ struct{} `msg:"path regained" level:"info"`
	request
	// The service.
	Service string `log:"service"`
	// For how long it had none.
	SpellMS int64 `log:"spell_ms"`
}

// The end of a request that has not run.
type refused struct {
	_ struct{} `msg:"refused" level:"warning"`
	decisionFields
	// Why.
	Reason string `log:"reason"`
	// not_run.
	Fate string `log:"fate"`
	// When the caller was asked to come back.
	RetryAfterMS int64 `log:"retry_after_ms"`
	// How long the caller would have waited.
	WaitMS int64 `log:"wait_ms"`
}

// The end of a request for a route or with a key that the configuration in force does not have.
type denied struct {
	_ struct{} `msg:"denied" level:"warning"`
	decisionFields
	// What is not there.
	Reason string `log:"reason"`
	// Status of the answer.
	Status int64 `log:"status"`
}

// The end of a request that may have run and has no answer.
type givenUp struct {
	_ struct{} `msg:"given up" level:"warning"`
	decisionFields
	// Why.
	Reason string `log:"reason"`
	// unknown.
	Fate string `log:"fate"`
	// Status of the answer.
	Status int64 `log:"status"`
}

// The end of a stream that had begun and could not go on.
type brokenOff struct {
	_ struct{} `msg:"broken off" level:"warning"`
	decisionFields
	// broken.
	Reason string `log:"reason"`
	// Why the last attempt did not deliver; empty where the time was over.
	LastAttempt string `log:"last_attempt"`
	// The last event that was passed on, -1 before the first.
	LastEvent int64 `log:"last_event"`
	// How many servers may have run the request.
	Runs int64 `log:"runs"`
	// How many may.
	MostRuns int64 `log:"most_runs"`
	// For how long the stream has had no event.
	StillMS int64 `log:"still_ms"`
	// How long callers wait for the next event before they leave.
	PatienceMS int64 `log:"patience_ms"`
}

// The end of a request whose server failed itself.
type failurePassedOn struct {
	_ struct{} `msg:"failure passed on" level:"warning"`
	decisionFields
	// Why.
	Reason string `log:"reason"`
}

// The end of a request whose caller left.
type callerDisconnected struct {
	_ struct{} `msg:"finished" level:"warning"`
	decisionFields
	// caller left.
	Outcome string `log:"outcome"`
}

// The end of a request whose answer was passed on.
type finished struct {
	_ struct{} `msg:"finished" level:"info"`
	decisionFields
	// whole.
	Outcome string `log:"outcome"`
	// When the first event was passed on, of a stream.
	FirstEventMS int64 `log:"first_event_ms,optional"`
	// The longest pause of a stream.
	LongestPauseMS int64 `log:"longest_pause_ms,optional"`
	// Repairs of a stream.
	Repairs int64 `log:"repairs,optional"`
	// Events of a stream.
	Events int64 `log:"events,optional"`
}

// A backend server did not do its stage of an attempt (today's interface).
type stageFailed struct {
	_ struct{} `msg:"stage failed" level:"warning"`
	attemptJxdRun
	// Name of the backend server.
	Server string `log:"server"`
	failure
}

// The end of a request of today's interface without the answer that was asked for.
type refusedJxdRun struct {
	_ struct{} `msg:"refused" level:"warning"`
	requestJxdRun
	// Why.
	Reason string `log:"reason"`
	// not_run, ran or unknown.
	Fate string `log:"fate"`
	// Status of the answer.
	Status int64 `log:"status"`
	// When the caller was asked to come back; 0 when it was not.
	RetryAfterMS int64 `log:"retry_after_ms"`
}

// The end of a stream of today's interface that had begun and could not go on.
type brokenOffJxdRun struct {
	_ struct{} `msg:"broken off" level:"warning"`
	requestJxdRun
	// Why.
	Reason string `log:"reason"`
	// not_run or unknown.
	Fate string `log:"fate"`
	// Tokens that were passed on.
	Tokens int64 `log:"tokens"`
	failure
}

// The end of a stream of today's interface that its caller no longer reads.
type cutByCaller struct {
	_ struct{} `msg:"stream cut by the caller" level:"warning"`
	requestJxdRun
	// Tokens that were passed on.
	Tokens int64 `log:"tokens"`
	failure
}

// The end of a request of today's interface that was answered.
type finishedJxdRun struct {
	_ struct{} `msg:"finished" level:"info"`
	requestJxdRun
	// whole.
	Outcome string `log:"outcome"`
	// Status of the answer.
	Status int64 `log:"status"`
	// Tokens of a stream.
	Tokens int64 `log:"tokens,optional"`
}

// An event that an attempt's chart does not know: a fault of junctioncross.
type unexpectedInAttempt struct {
	_ struct{} `msg:"unexpected event" level:"error"`
	attemptJxdRun
	failure
}
