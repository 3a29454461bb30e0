package capacity

// The design size, two years on, as the users state it.
const (
	daemons       = 410.0
	replicas      = 600.0
	accelerators  = 4800.0
	requestsS     = 5500.0
	tokensS       = 2.1e6
	accounts      = 20_000.0
	domains       = 7.0
	changesDay    = 850.0
	failedDay     = 17.0
	replacedDay   = 83.0
	secondsPerDay = 86_400.0
)

// The limits of the users.
const (
	limitCPU       = 1.0
	limitMemoryMB  = 32.0
	limitBytesS    = 25_000.0
	limitKVWritesS = 300.0
	limitKVReadsS  = 2000.0
	limitInForceMS = 4000.0
	limitFirstMS   = 640.0
	limitGapMS     = 67.0
)

// What the users do not state, assumed until they do.
const (
	stagesPerReplica = 4.0
	keyedShare       = 0.02
	promptTokens     = 300.0
	activationBytes  = 16_384.0
	gapSeconds       = 0.056
	// measuredStages is the number of stages of the pipelines that throughput is measured with.
	measuredStages = 2.0
	// measuredSize is the size of a domain, of those measured, that is nearest to the design's.
	measuredSize = "64"
)

const (
	daemonsPerDomain = daemons / domains
	serversPerDomain = replicas * stagesPerReplica / domains
	tokensPerDaemon  = tokensS / daemons
	answerTokens     = tokensS / requestsS
	claimsS          = requestsS * keyedShare
)
