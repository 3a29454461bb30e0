package schema

import "time"

// commonFields holds the fields that every line has.
type commonFields struct {
	// When the line was written, by the instance's clock.
	Time time.Time `log:"time"`
	// Severity: info, warning or error.
	Level string `log:"level"`
	// The decision or the change of belief that the line reports.
	Msg string `log:"msg"`
	// The instance that wrote the line.
	Instance string `log:"instance"`
	// The instance's failure domain.
	Domain string `log:"domain"`
}

// request is embedded in lines about a request.
type request struct {
	// Id of the request.
	Request string `log:"request"`
}

// noRequest is embedded in lines that the recorder writes about no particular request.
type noRequest struct {
	// Always empty.
	Request string `log:"request"`
}

// decisionFields holds what lines about decisions on a request (jxd serve) have in common.
type decisionFields struct {
	request
	// How long the instance has held the request.
	HeldMS int64 `log:"held_ms"`
	// Number of servers that it was sent to.
	Sends int64 `log:"sends"`
	// Version of the configuration in force; missing before the first.
	Config int64 `log:"config,optional"`
	// How long ago that configuration was confirmed.
	ConfigAgeMS int64 `log:"config_age_ms,optional"`
	// The route that the request takes.
	Route string `log:"route,optional"`
	// The service of that route.
	Service string `log:"service,optional"`
	// The client account that made the request.
	Account string `log:"account,optional"`
}

// server identifies a backend server.
type server struct {
	// Id of the backend server.
	Server string `log:"server"`
	// IP address and port of the backend server.
	Address string `log:"address"`
}

// fingerprint is embedded in lines about a request while running which a server may have terminated.
type fingerprint struct {
	// Hash of the request's path, caller, body and prompt; the same for all attempts of a caller.
	Fingerprint string `log:"fingerprint"`
}

// quarantinedPart is embedded in lines about the end of a request that may be quarantined for a part of its prompt.
type quarantinedPart struct {
	// Id of the part of the prompt for which the request is quarantined.
	Part string `log:"part,optional"`
}

// retryBudget holds what lines about retries report of the instance's share of the retry budget of the fleet.
type retryBudget struct {
	// Requests for the service in the last window of the limit.
	Requests int64 `log:"requests"`
	// Retries that the instance has left for the service, with fractions.
	Left float64 `log:"left"`
	// The instance's share of the fixed number of retries that is allowed in addition to a share of the requests.
	FixedPart float64 `log:"fixed_part"`
	// Number of instances among which the budget is divided.
	Instances int64 `log:"instances"`
	// How long ago the process started; its budget was empty then.
	ProcessMS int64 `log:"process_ms"`
}

// firstServerChange holds what lines about a stream that leaves the first server of its path have in common.
type firstServerChange struct {
	request
	server
	// How long the stream has had no event.
	StillMS int64 `log:"still_ms"`
	// Whether the server's entry has vanished from the store.
	Gone bool `log:"gone"`
	// How long the server has been known to be leaving.
	LeavingMS int64 `log:"leaving_ms"`
	// Expected remaining time of the stream.
	ExpectedLeftMS int64 `log:"expected_left_ms,optional"`
	// The first server of the new path; missing if the connection is closed first and a path is chosen afterwards.
	Next string `log:"next,optional"`
}

// pathChange holds what lines about a new path behind the same first server have in common.
type pathChange struct {
	request
	// The previous path.
	OldPath string `log:"old_path"`
	// The new path, as sent to the first server.
	Path string `log:"path"`
	// How long the stream has had no event.
	StillMS int64 `log:"still_ms"`
}

// pathChangeRefused is embedded in lines about a new path that the first server did not accept.
type pathChangeRefused struct {
	pathChange
	// Why the new path was not accepted.
	Error string `log:"error"`
}

// waitForecast is the forecast for a request that waits for room.
type waitForecast struct {
	decisionFields
	// Places (room for one stream of usual length each) that must become free before the request gets one.
	Places float64 `log:"places"`
	// Streams in progress on this instance that are not stalled.
	Streams int64 `log:"streams"`
	// How long the request may still wait.
	LeftMS int64 `log:"left_ms"`
	// Predicted probability that it gets a path within that time.
	Likelihood float64 `log:"likelihood"`
	// Predicted median of the wait.
	PredictedWaitMS int64 `log:"predicted_wait_ms"`
	// Whether this is a returning caller: one that was refused before.
	Returned bool `log:"returned"`
}

// serverReport is a server's answer to a state query.
type serverReport struct {
	noRequest
	server
	// Why the server was queried.
	Why string `log:"why"`
	// How many times slower than usual for its kind the server runs; 0 if it does not say.
	Pace float64 `log:"pace"`
	// Requests that run on the server.
	Running int64 `log:"running"`
	// Requests that wait on the server.
	Waiting int64 `log:"waiting"`
	// Memory of the server that is in use, in tokens times layers.
	MemoryUsed float64 `log:"memory_used"`
	// Total memory of the server, in the same unit.
	Memory float64 `log:"memory"`
	// The layers that the server holds.
	Layers string `log:"layers"`
}

// serverEntry is the content of a server's entry in the store.
type serverEntry struct {
	server
	// The service that the server belongs to.
	Service string `log:"service"`
	// The server's failure domain.
	ServerDomain string `log:"server_domain"`
	// The server's kind.
	Kind string `log:"kind"`
	// Whether the server is leaving.
	Leaving bool `log:"leaving"`
	// The layers that the server holds.
	Layers string `log:"layers"`
	// The store's revision of the entry.
	Revision int64 `log:"revision"`
	// The era of the store to which that revision belongs.
	Era int64 `log:"era"`
}

// order is an order of the leader to a backend server of a platform (jxd serve).
type order struct {
	server
	// The layers that the server is to hold.
	Layers string `log:"layers"`
	// Whether the server holds other layers now.
	Moves bool `log:"moves"`
	// Why the server gets the order: fill, replace, move or retile.
	Reason string `log:"reason"`
	// Number of orders that the server is known to have taken.
	ExpectOrders int64 `log:"expect_orders"`
	// The lease that the leader lock is attached to.
	Lease int64 `log:"lease"`
}

// engineOrder is an order of the leader to a model engine (jxd run).
type engineOrder struct {
	// Name of the backend server.
	Server string `log:"server"`
	// The model whose layers the server is to hold.
	Model string `log:"model"`
	// The layers that the server is to hold.
	Layers string `log:"layers"`
	// Fencing token of the leader; a later leader has a higher one.
	Fence int64 `log:"fence"`
}

// requestJxdRun holds what lines about a request of jxd run have in common.
type requestJxdRun struct {
	request
	// The client account that made the request; empty while it is not known.
	Account string `log:"account"`
	// How long the instance has held the request.
	HeldMS int64 `log:"held_ms"`
	// Revision of the configuration in force; missing before the first.
	Config int64 `log:"config,optional"`
}

// attemptJxdRun holds what lines about an attempt of jxd run have in common.
type attemptJxdRun struct {
	request
	// The client account that made the request.
	Account string `log:"account"`
	// Number of the attempt.
	Attempt int64 `log:"attempt"`
}

// feed is embedded in lines about a feed: a part of the store whose changes an instance follows.
type feed struct {
	// The feed: configuration, servers or quarantine.
	Feed string `log:"feed"`
}

// failure is embedded in lines that report why something failed.
type failure struct {
	// Why it failed.
	Error string `log:"error"`
}
