package schema

// All connections to servers that the instance tried to open in the last two seconds failed.
type noServerInReach struct {
	_ struct{} `msg:"no server within reach" level:"warning"`
	dialedServers
}

// A connection to a server came up again.
type serversInReach struct {
	_ struct{} `msg:"servers within reach again" level:"info"`
	dialedServers
}

// dialedServers is how many servers the instance tried to connect to in the last two seconds, over its own links.
type dialedServers struct {
	// Number of servers to which the last connection failed.
	OutOfReach int64 `log:"out_of_reach"`
	// Number of servers that were tried.
	Tried int64 `log:"tried"`
}
