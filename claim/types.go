package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Errors of this layer.
var (
	// ErrUnavailable means that the claim was not kept and the request must not be sent.
	ErrUnavailable = errors.New("claim: key-value service unavailable")
	// ErrUnsure means that the claim may have been kept; the request must not be sent.
	ErrUnsure = errors.New("claim: outcome unsure")
)

// Claim asks that only Request may run under Key.
type Claim struct {
	Key     string `json:"k" cbor:"1,keyasint"`
	Body    uint64 `json:"b" cbor:"2,keyasint"`
	Request string `json:"r" cbor:"3,keyasint"`
	// Status is the HTTP status of the finished request, zero in a claim that is still open.
	Status int `json:"s,omitempty" cbor:"4,keyasint"`
	// Void is true when the request of that claim was never sent and the key is free again.
	Void bool `json:"v,omitempty" cbor:"5,keyasint"`
}

// Verdict answers a claim; the types below are its only implementations.
type Verdict interface{ verdict() }

// Granted means that the request may be sent, once.
type Granted struct{}

// Duplicate means that another request holds the key; Status is zero while its outcome is not known.
type Duplicate struct{ Status int }

// Reused means that the key stands for another request body.
type Reused struct{}

func (Granted) verdict()   {}
func (Duplicate) verdict() {}
func (Reused) verdict()    {}

// Partition returns the partition of a key out of count.
func Partition(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

func partitionPrefix(partition int) string { return "claims/" + strconv.Itoa(partition) + "/" }
