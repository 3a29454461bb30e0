package schema

// A server keeps sending bytes that complete no event of a stream, which is resumed elsewhere.
type bytesCompleteNothing struct {
	_ struct{} `msg:"bytes complete no event" level:"warning"`
	firstServerChange
}

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

// A stream was not sent along the path of its line "sent", since a server of it has just stopped taking new work; another path is chosen.
type pathClosed struct {
	_ struct{} `msg:"not sent, path closed" level:"info"`
	decisionFields
	// Id of the first server of the path.
	Server string `log:"server"`
	// The servers of the path with their layers.
	Path string `log:"path"`
	// How often a path of this request was chosen again so far.
	Rechosen int64 `log:"rechosen"`
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
	// What ended the run: server (it, or the path to it), or what the instance concluded: restart, leaving, silent, not_listening, forgotten,
	// lost_path, endless_bytes.
	EndedBy string `log:"ended_by"`
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
	// Parts of its prompt that other requests may have as well, separated by blanks.
	Parts string `log:"parts"`
	// Whether the server had begun to answer the request.
	Begun bool `log:"begun"`
	// How long it had been answering.
	RanMS int64 `log:"ran_ms"`
}

// A server has run the request without terminating, although others had terminated under it: the request is cleared.
type requestCleared struct {
	_ struct{} `msg:"request proved harmless" level:"warning"`
	request
	fingerprint
	// Number of servers that had terminated while they ran the request.
	Ends int64 `log:"ends"`
	// Number of ends that no longer count against the parts of its prompt.
	PartEnds int64 `log:"part_ends"`
}

// The request is not retried, since the instance's share of the retry budget is spent or what is left of it is kept for others.
type noRetry struct {
	_ struct{} `msg:"no repeat" level:"warning"`
	decisionFields
	retryBudget
	// repeat_budget_spent, or repeat_budget_kept if what is left is kept for requests that are more urgent or not yet late.
	Reason string `log:"reason"`
}
