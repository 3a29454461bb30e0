package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision orders the writes to the service; zero means that the record does not exist.
type Revision uint64

// Record is a stored value with its key and revisions.
type Record struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	// Created is the revision at which the record was created; it stays the same when a lease is renewed.
	Created Revision `json:"created"`
}

// Errors of this package.
var (
	// ErrNotFound means that there is no record under the key.
	ErrNotFound = errors.New("kv: no such record")
	// ErrConflict means that the record's revision was not the expected one; the write did not take effect.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrUnavailable means that the service did not accept the call; nothing took effect.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect, since its answer was lost or not understood.
	ErrOutcomeUnknown = errors.New("kv: outcome unsure")
)

// Put describes one conditional write.
type Put struct {
	Key   string
	Value []byte
	// Expect is the revision that the record must have; zero means that it must not exist.
	Expect Revision
	// TTL makes the record a lease, which expires unless it is written again within that time; zero means that it never expires.
	TTL time.Duration
}

// Store is the part of the key-value service that this program uses.
type Store interface {
	// Get returns a record; it returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with prefix, sorted by key; it returns ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Record, error)
	// Write writes a record on the condition in put and returns its new revision; it returns ErrConflict, ErrUnavailable or
	// ErrOutcomeUnknown.
	Write(ctx context.Context, put Put) (Revision, error)
	// Delete removes a record if its revision is expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Wait returns the record once its revision is above after. It returns ErrNotFound if the waiting time ends first, or
	// ErrUnavailable.
	Wait(ctx context.Context, key string, after Revision) (Record, error)
}
