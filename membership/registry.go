package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a registry.
var (
	// ErrExpired means that the record of an instance has expired.
	ErrExpired = errors.New("membership: record has expired")
	// ErrTaken means that another instance has written to the slot in the meantime.
	ErrTaken = errors.New("membership: slot is taken")
)

// Instance is what an instance publishes about itself.
type Instance struct {
	// Name is unique among the instances.
	Name string
	// Domain is the failure domain of the instance.
	Domain string
	// Addr is the IP address and UDP port for calls of other instances; it is empty if there are none.
	Addr string
	// Power is the instance's processor power relative to other instances.
	Power float64
}

// Snapshot is a snapshot of the registration records: what one read of them returned.
type Snapshot struct {
	Records []Record
	// Key is the fleet key, by which instances authenticate to each other; it is empty before the first instance has written
	// one.
	Key []byte
	// Era is the number of times that the store had lost writes when the records were read.
	Era int64
}

// Registry stores the registration records of the instances.
type Registry interface {
	// Join writes a record that expires after ttl to a slot of the instance's domain and returns the lease that the record is
	// bound to; it returns ErrTaken if the slot has changed in the meantime.
	Join(ctx context.Context, self Instance, slot Slot, ttl time.Duration) (lease int64, err error)
	// Renew extends the record by another ttl; it returns ErrExpired if it has expired.
	Renew(ctx context.Context, lease int64) error
	// List returns the records and the fleet key; they may be some seconds old.
	List(ctx context.Context) (Snapshot, error)
	// EnsureKey writes the fleet key unless there is one, and returns the stored key.
	EnsureKey(ctx context.Context, key []byte) ([]byte, error)
}
