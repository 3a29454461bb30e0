package operator

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/revision"
)

// Failure is the body of an answer that is not a success.
type Failure struct {
	Message string `json:"message"`
	// Settled is false when the call may have taken effect.
	Settled  bool             `json:"settled"`
	Problems []string         `json:"problems,omitempty"`
	Meantime []revision.Entry `json:"meantime,omitempty"`
}

// rejection lists why an intent cannot be had.
type rejection struct{ problems []string }

// Error implements error.
func (r *rejection) Error() string { return "the intent cannot be had" }

func reject(problems []error) error {
	r := &rejection{}
	for _, p := range problems {
		r.problems = append(r.problems, p.Error())
	}
	return r
}

// describe returns the status and body that tell an operator of an error.
func describe(err error) (int, Failure) {
	var conflict *revision.ConflictError
	var rejected *rejection
	switch {
	case errors.As(err, &conflict):
		return fasthttp.StatusConflict, Failure{Message: err.Error(), Settled: true, Meantime: conflict.Meantime()}
	case errors.As(err, &rejected):
		return fasthttp.StatusUnprocessableEntity, Failure{Message: err.Error(), Settled: true, Problems: rejected.problems}
	case errors.Is(err, revision.ErrNoPlan), errors.Is(err, revision.ErrNoIntent):
		return fasthttp.StatusNotFound, Failure{Message: err.Error(), Settled: true}
	case errors.Is(err, revision.ErrOutcomeUnknown):
		return fasthttp.StatusGatewayTimeout, Failure{Message: err.Error(), Settled: false}
	case errors.Is(err, revision.ErrUnavailable):
		return fasthttp.StatusServiceUnavailable, Failure{Message: err.Error(), Settled: true}
	default:
		return fasthttp.StatusBadRequest, Failure{Message: err.Error(), Settled: true}
	}
}
