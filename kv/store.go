package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision orders the writes of the service; zero means that the record does not exist.
type Revision uint64

// Record is one stored value.
type Record struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	// Created is the revision at which the record came into being; it stays the same while a lease is renewed.
	Created Revision `json:"created"`
}

// Errors of this layer.
var (
	// ErrNotFound means that there is no record under the key.
	ErrNotFound = errors.New("kv: no such record")
	// ErrConflict means that the record's revision was not the expected one; the write did not take effect.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrUnavailable means that the service did not accept the call; nothing took effect.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrUnsure means that the call may have taken effect although its answer was lost.
	ErrUnsure = errors.New("kv: outcome unsure")
)

// Put describes one conditional write.
type Put struct {
	Key   string
	Value []byte
	// Expect is the revision the record must have; zero means that it must not exist.
	Expect Revision
	// TTL makes the record a lease that ends unless it is written again in time; zero means forever.
	TTL time.Duration
}

// Store is the key-value service as the system uses it.
type Store interface {
	// Get returns one record or ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with prefix, in order of key.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Write performs a conditional write; it returns ErrConflict, ErrUnavailable or ErrUnsure.
	Write(ctx context.Context, put Put) (Revision, error)
	// Delete removes a record whose revision is expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Wait returns the record once its revision is above after, or ErrNotFound when ctx ends first.
	Wait(ctx context.Context, key string, after Revision) (Record, error)
}
