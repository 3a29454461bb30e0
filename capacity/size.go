package capacity

// The design size, two years on, as the users state it.
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

// The limits of the users.
const (
	limitCPU               = 1.0
	limitMemoryMB          = 32.0
	limitBytesPerSecond    = 25_000.0
	limitKVWritesPerSecond = 300.0
	limitKVReadsPerSecond  = 2000.0
	limitInForceMS         = 4000.0
	limitFirstMS           = 640.0
	limitGapMS             = 67.0
)

// What the users do not state, assumed until they do.
const (
	stagesPerReplica = 4.0
	keyedShare       = 0.02
	promptTokens     = 300.0
	activationBytes  = 16_384.0
	tokenGapSeconds  = 0.056
	// measuredStages is the number of stages of the pipelines that throughput is measured with.
	measuredStages = 2.0
	// measuredInstances is the size of a domain, of those measured, that is nearest to the design's.
	measuredInstances = "64"
)

const (
	instancesPerDomain = instances / domains
	serversPerDomain   = replicas * stagesPerReplica / domains
	tokensPerInstance  = tokensPerSecond / instances
	answerTokens       = tokensPerSecond / requestsPerSecond
	claimsPerSecond    = requestsPerSecond * keyedShare
)
