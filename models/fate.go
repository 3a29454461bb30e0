package models

// Fate says what is known about whether a request ran.
type Fate string

// The fates a refusal or a failure can report.
const (
	// FateNotRun means that no backend server started the request.
	FateNotRun Fate = "not_run"
	// FateUnknown means that a backend server may have started the request.
	FateUnknown Fate = "unknown"
	// FateRan means that an earlier request under the same idempotency key was completed.
	FateRan Fate = "ran"
)

// HeaderFate is the response header that carries the fate of a refused or failed request.
const HeaderFate = "X-Request-Fate"

// HeaderRequestID is the response header that carries the request id.
const HeaderRequestID = "X-Request-Id"

// HeaderIdempotencyKey is the request header that names a request which may run at most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// Reason names why a request was refused or an attempt was retried; each reason is also a counter.
type Reason string

// Reasons of refusals.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonUnknownModel     Reason = "unknown_model"
	ReasonModelNotAllowed  Reason = "model_not_allowed"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonNotFound         Reason = "not_found"
	ReasonNoConfiguration  Reason = "no_configuration"
	ReasonNoPipeline       Reason = "no_pipeline"
	ReasonOverloaded       Reason = "overloaded"
	ReasonDraining         Reason = "draining"
	ReasonDeadline         Reason = "deadline"
	ReasonRetriesExhausted Reason = "retries_exhausted"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonDuplicate        Reason = "duplicate"
	ReasonClaimUnavailable Reason = "claim_unavailable"
	ReasonClaimUnsure      Reason = "claim_unsure"
	ReasonServiceFailed    Reason = "service_failed"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonKeysUnconfirmed  Reason = "keys_unconfirmed"
	ReasonNoServer         Reason = "no_server"
	ReasonNoRoom           Reason = "no_room"
	ReasonBroken           Reason = "broken"
	ReasonAttempts         Reason = "attempts_used_up"
	ReasonNoBudget         Reason = "repeat_budget_spent"
	ReasonQuarantined      Reason = "quarantined"
)

// Reasons of retries.
const (
	RetryUnreachable Reason = "unreachable"
	RetryTimeout     Reason = "timeout"
	RetryRefused     Reason = "refused_by_backend"
	RetryOutOfOrder  Reason = "out_of_order_frame"
	RetrySlow        Reason = "slow_backend"
	RetryBroken      Reason = "broken_answer"
	RetryBackedOff   Reason = "backend_wants_none"
	RetryOverLimit   Reason = "backend_limit_reached"
)
