package control

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"junctioncross/admit"
	"junctioncross/engine"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/pool"
	"junctioncross/revision"
	"junctioncross/timer"
	"junctioncross/view"
)

// Self identifies this instance.
type Self struct {
	Name        string
	Domain      string
	PeerAddr    string
	Incarnation uint64
	// Seeds are the addresses of instances that are contacted while no other instance is known.
	Seeds []string
	// ListAddr is the address of the platform's instance list.
	ListAddr string
}

// Process returns a name for this incarnation of the instance, for records that have to distinguish one start from the next.
func (s Self) Process() string { return fmt.Sprintf("%s/%d", s.Name, s.Incarnation) }

// Deps are the dependencies of the control loop.
type Deps struct {
	Store     *revision.Store
	Keeper    *revision.Keeper
	Snapshots *view.SnapshotHolder
	Gates     *admit.Gates
	Pool      *pool.Pool
	Engines   *engine.Client
	Links     *link.Client
	Clock     *timer.Service
	Stats     *metrics.Registry
	Log       *logrus.Logger
}
