package schema

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
