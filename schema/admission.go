package schema

// What is in force for the admission to a chained service; logged when the configuration or the settings change.
type admissionInForce struct {
	_ struct{} `msg:"admission in force" level:"info"`
	// The service.
	Service string `log:"service"`
	// Whether less urgent requests are refused first while the room is short.
	Ranks bool `log:"ranks"`
	// Whether the room is divided fairly among accounts.
	Accounts bool `log:"accounts"`
	// Number of operators' requests for parts of the room that are in force.
	Parts int64 `log:"parts"`
	// Whether requests can have different priorities.
	Unlike bool `log:"unlike"`
	// The priorities of the routes to the service and of the accounts.
	Priorities string `log:"priorities"`
	// Version of the configuration.
	Version int64 `log:"version"`
}

// A request for a part of the room cannot be followed under the configuration in force.
type partNotInForce struct {
	_ struct{} `msg:"part of the room not in force" level:"error"`
	// The field of the settings.
	Field string `log:"field"`
	// The name of the route or account.
	Name string `log:"name"`
	// Why it cannot be followed.
	Reason string `log:"reason"`
}

// The load of the whole domain became known, or unknown; while it is not known, no request is refused for its rank.
type admissionTotals struct {
	_ struct{} `msg:"admission totals" level:"info"`
	// The service.
	Service string `log:"service"`
	// Whether it is known.
	Known bool `log:"known"`
}

// The shares of requests that are admitted have changed much; logged at most once a second for each service.
type admissionLevels struct {
	_ struct{} `msg:"admission levels" level:"info"`
	// The service.
	Service string `log:"service"`
	// For each rank (priority of the account, priority of the route) the shares of first tries and of returning callers.
	Levels string `log:"levels"`
}
