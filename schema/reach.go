package schema

// The request goes to a server through another instance, since the server is out of reach over the own links or slow to connect.
type sentThroughOther struct {
	_ struct{} `msg:"sent through another instance" level:"info"`
	request
	// Id of the backend server.
	Server string `log:"server"`
	// Name of the other instance.
	Via string `log:"via"`
}

// This instance connects another one to a server, for a request of a caller of that one.
type tunnelCarried struct {
	_ struct{} `msg:"tunnel carried" level:"info"`
	tunnelRequest
}

// This instance does not connect another one to a server.
type tunnelNotCarried struct {
	_ struct{} `msg:"tunnel not carried" level:"warning"`
	tunnelRequest
}

// tunnelRequest is embedded in lines about what another instance has asked for.
type tunnelRequest struct {
	request
	// Name of the other instance.
	Peer string `log:"peer"`
	// Id of the backend server.
	Server string `log:"server"`
	// What the other instance was told.
	Verdict string `log:"verdict"`
}

// A stream that stands still uses the own links, which no longer reach its first server; it is resumed through another instance.
type streamPathLost struct {
	_ struct{} `msg:"path of a stream lost" level:"warning"`
	firstServerChange
}

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

// A server is out of reach over the instance's own links, while another instance reaches it.
type pathLost struct {
	_ struct{} `msg:"path to a server lost, others reach it" level:"warning"`
	// Address of the server.
	Address string `log:"address"`
	// Number of servers that the instance reaches through other instances only.
	Lost int64 `log:"lost"`
}

// A server whose path was lost was reached over the own links again.
type pathsRegained struct {
	_ struct{} `msg:"path to servers regained" level:"info"`
	// Address of the server.
	Address string `log:"address"`
}

// dialedServers is how many servers the instance tried to connect to in the last two seconds, over its own links.
type dialedServers struct {
	// Number of servers to which the last connection failed.
	OutOfReach int64 `log:"out_of_reach"`
	// Number of servers that were tried.
	Tried int64 `log:"tried"`
}
