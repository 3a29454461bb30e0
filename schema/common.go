package schema

import "time"

// commonFields stands in all lines.
type commonFields struct {
	// When the line was written, by the instance's clock.
	Time time.Time `log:"time"`
	// How much the line matters: info, warning or error.
	Level string `log:"level"`
	// Which decision or belief the line tells.
	Msg string `log:"msg"`
	// The instance that wrote the line.
	Instance string `log:"instance"`
	// The instance's failure domain.
	Domain string `log:"domain"`
}

// request names the request that a line is about.
type request struct {
	// Id of the request.
	Request string `log:"request"`
}

// noRequest marks a line of the recorder that is about no request.
type noRequest struct {
	// Always empty.
	Request string `log:"request"`
}

// decisionFields is what the lines on a request's decisions tell of it.
type decisionFields struct {
	request
	// How long the instance has held the request.
	HeldMS int64 `log:"held_ms"`
	// How many servers it was sent to.
	Sends int64 `log:"sends"`
	// Version of the configuration in force; missing before the first.
	Config int64 `log:"config,optional"`
	// How long ago that configuration was confirmed.
	ConfigAgeMS int64 `log:"config_age_ms,optional"`
	// The route that the request takes.
	Route string `log:"route,optional"`
	// The service of that route.
	Service string `log:"service,optional"`
	// The client account that asks.
	Account string `log:"account,optional"`
}

// server names a backend server.
type server struct {
	// Id of the backend server.
	Server string `log:"server"`
	// IP number and port of the backend server.
	Address string `log:"address"`
}

// fingerprint is what lines on a request that a server may have ended under tell.
type fingerprint struct {
	// What stands for the request by path, caller and body, whatever attempt of its caller it is.
	Fingerprint string `log:"fingerprint"`
}

// retryBudget is what lines on repeats tell of the instance's part of the limit that all instances share.
type retryBudget struct {
	// Requests for the service in the last window of the limit.
	Requests int64 `log:"requests"`
	// Repeats that the instance has left for the service; the part of one counts.
	Left float64 `log:"left"`
	// The instance's part of the repeats that are allowed besides a share of the requests.
	FixedPart float64 `log:"fixed_part"`
	// The instances that these are divided by.
	Instances int64 `log:"instances"`
	// How long ago the process started; it had no repeats saved then.
	ProcessMS int64 `log:"process_ms"`
}

// firstServerChange is what lines on a stream that leaves its first part tell.
type firstServerChange struct {
	request
	server
	// For how long the stream has had no event.
	StillMS int64 `log:"still_ms"`
	// Whether the server's entry has vanished.
	Gone bool `log:"gone"`
	// For how long the server has been known to leave.
	LeavingMS int64 `log:"leaving_ms"`
	// How much longer the stream was expected to last.
	ExpectedLeftMS int64 `log:"expected_left_ms,optional"`
	// The first part on which it goes on; missing where the stream is cut first and a path looked for then.
	Next string `log:"next,optional"`
}

// pathChange is what lines on another path behind the first part tell.
type pathChange struct {
	request
	// The path before.
	OldPath string `log:"old_path"`
	// The path that was asked for.
	Path string `log:"path"`
	// For how long the stream has had no event.
	StillMS int64 `log:"still_ms"`
}

// pathChangeRefused is a path that the first part did not take.
type pathChangeRefused struct {
	pathChange
	// Why.
	Error string `log:"error"`
}

// waitForecast is what was predicted for a request that waits for room.
type waitForecast struct {
	decisionFields
	// Rooms that must come before the request has its own.
	Places float64 `log:"places"`
	// Streams under way that move.
	Streams int64 `log:"streams"`
	// How long the request might wait.
	LeftMS int64 `log:"left_ms"`
	// How likely it has a path by then.
	Likelihood float64 `log:"likelihood"`
	// When it has one as likely as not.
	PredictedWaitMS int64 `log:"predicted_wait_ms"`
	// Whether the caller was refused before and came back.
	Returned bool `log:"returned"`
}

// serverReport is what a server said of itself.
type serverReport struct {
	noRequest
	server
	// What gave reason to ask.
	Why string `log:"why"`
	// How many times slower than usual it is; 0 when it did not say.
	Pace float64 `log:"pace"`
	// Requests that run on it.
	Running int64 `log:"running"`
	// Requests that wait on it.
	Waiting int64 `log:"waiting"`
	// Its taken memory, in tokens times layers.
	MemoryUsed float64 `log:"memory_used"`
	// Its whole memory, in the same unit.
	Memory float64 `log:"memory"`
	// The layers that it holds.
	Layers string `log:"layers"`
}

// serverEntry is what a server's entry in the store tells.
type serverEntry struct {
	server
	// The service that it is of.
	Service string `log:"service"`
	// Its failure domain.
	ServerDomain string `log:"server_domain"`
	// Its kind.
	Kind string `log:"kind"`
	// Whether it leaves.
	Leaving bool `log:"leaving"`
	// The layers that it holds.
	Layers string `log:"layers"`
	// The store's revision of the entry.
	Revision int64 `log:"revision"`
	// The era of the store in which it counts.
	Era int64 `log:"era"`
}

// order is an order to a server of a platform.
type order struct {
	server
	// The layers that it shall hold.
	Layers string `log:"layers"`
	// Whether it holds others now.
	Moves bool `log:"moves"`
	// The number of orders that it is known to have taken.
	ExpectOrders int64 `log:"expect_orders"`
	// The lease that the right to give orders hangs on.
	Lease int64 `log:"lease"`
}

// engineOrder is an order to a model engine of today's interface.
type engineOrder struct {
	// Name of the backend server.
	Server string `log:"server"`
	// The model that it shall hold a part of.
	Model string `log:"model"`
	// The layers that it shall hold.
	Layers string `log:"layers"`
	// The number that orders the leaders.
	Fence int64 `log:"fence"`
}

// requestJxdRun is what the lines on a request of today's interface tell.
type requestJxdRun struct {
	request
	// The client account that asks; empty while it is not known.
	Account string `log:"account"`
	// How long the instance has held the request.
	HeldMS int64 `log:"held_ms"`
	// Revision of the configuration in force; missing before the first.
	Config int64 `log:"config,optional"`
}

// attemptJxdRun is what lines on an attempt of today's interface tell.
type attemptJxdRun struct {
	request
	// The client account that asks.
	Account string `log:"account"`
	// Number of the attempt.
	Attempt int64 `log:"attempt"`
}

// feed is a part of the store that an instance follows.
type feed struct {
	// Which part: the configuration or the servers.
	Feed string `log:"feed"`
}

// failure is a line that only tells why something failed.
type failure struct {
	// Why.
	Error string `log:"error"`
}
