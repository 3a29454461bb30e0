package capacity

// The design size: the fleet that the users expect to have in two years.
const (
	instances         = 410.0
	replicas          = 600.0
	accelerators      = 4800.0
	requestsPerSecond = 5500.0
	tokensPerSecond   = 2.1e6
	accounts          = 20_000.0
	domains           = 7.0
	changesPerDay     = 850.0
	failedPerDay      = 17.0
	replacedPerDay    = 83.0
	secondsPerDay     = 86_400.0
)

// The limits that the users set.
const (
	// limitCPU is in percent of a core.
	limitCPU               = 1.0
	limitMemoryMB          = 32.0
	limitBytesPerSecond    = 25_000.0
	limitKVWritesPerSecond = 300.0
	limitKVReadsPerSecond  = 2000.0
	limitInForceMS         = 4000.0
	// limitFirstMS limits the time to the first token, limitGapMS the time between tokens.
	limitFirstMS = 640.0
	limitGapMS   = 67.0
)

// Values that the users have not stated yet and that are assumed here, and properties of the measured fleets.
const (
	stagesPerReplica = 4.0
	// keyedShare is the share of requests that carry an idempotency key.
	keyedShare      = 0.02
	promptTokens    = 300.0
	activationBytes = 16_384.0
	// tokenGapSeconds is the time between two tokens of an answer.
	tokenGapSeconds = 0.056
	// measuredStages is the number of stages of the pipelines that throughput is measured with.
	measuredStages = 2.0
	// measuredInstances is the measured number of instances of a domain that is nearest to that of the design size.
	measuredInstances = "64"
)

const (
	instancesPerDomain = instances / domains
	serversPerDomain   = replicas * stagesPerReplica / domains
	tokensPerInstance  = tokensPerSecond / instances
	answerTokens       = tokensPerSecond / requestsPerSecond
	// claimsPerSecond is the rate of requests with an idempotency key, each of which is claimed once.
	claimsPerSecond = requestsPerSecond * keyedShare
)
