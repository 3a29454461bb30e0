package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of this package.
var (
	// ErrUnavailable means that the claim was not recorded; the request must not be sent.
	ErrUnavailable = errors.New("claim: key-value service unavailable")
	// ErrOutcomeUnknown means that the claim may have been recorded; the request must not be sent.
	ErrOutcomeUnknown = errors.New("claim: outcome unsure")
)

// Claim asks that of all requests with Key only Request, a request ID, may run. With Status or Void set it records the outcome of
// that request. Body is a hash of what the client sent, which tells when a key is reused for another request.
type Claim struct {
	Key      string `json:"k" cbor:"1,keyasint"`
	BodyHash uint64 `json:"b" cbor:"2,keyasint"`
	Request  string `json:"r" cbor:"3,keyasint"`
	// Status is the HTTP status with which the request finished, zero while it has not.
	Status int `json:"s,omitempty" cbor:"4,keyasint"`
	// Void is true if the request was never sent, so that the key is free again.
	Void bool `json:"v,omitempty" cbor:"5,keyasint"`
}

// Verdict is the answer to a claim; Granted, Duplicate and Reused are its only implementations.
type Verdict interface{ verdict() }

// Granted means that the request may be sent, once.
type Granted struct{}

// Duplicate means that another request holds the key; Status is zero while its outcome is not known.
type Duplicate struct{ Status int }

// Reused means that the key is held by a request with another body.
type Reused struct{}

func (Granted) verdict()   {}
func (Duplicate) verdict() {}
func (Reused) verdict()    {}

// Partition returns the partition of a key, from zero to count-1.
func Partition(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

func partitionPrefix(partition int) string { return "claims/" + strconv.Itoa(partition) + "/" }
