package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/models"
	"junctioncross/retry"
)

const (
	// fullBackOff is how long a server that had no room gets no new work at first: about the age of what is known of its memory.
	// The time doubles with each refusal up to maxFullBackOff, since a server that is gone gives the same refusals until its
	// entry vanishes.
	fullBackOff    = 250 * time.Millisecond
	maxFullBackOff = 2 * time.Second
	// maxPaceAge is how long a server's report on its pace is used.
	maxPaceAge = 3 * time.Second
	// queryInterval is the shortest time between two state queries by one instance. Each query has a cost, and a report is some
	// 200 ms old, so that a second query within that time would return nothing new.
	queryInterval = 240 * time.Millisecond
	// maxStaleTime is how long a server that did not hold the layers of its entry gets no new work at most. It gets work sooner
	// if its entry is updated.
	maxStaleTime = time.Second
	// failWeight is the weight of the newest request in the failure rate: some ten requests are enough to recognize a bad server.
	failWeight = 0.1
)

// Server is what this instance knows of one incarnation of a backend server. It is safe for concurrent use.
type Server struct {
	incarnation Incarnation
	addr        string
	described   atomic.Pointer[description]

	// leaving is true once the server's entry has said that it leaves.
	leaving atomic.Bool
	// gone is true once the server's entry was removed.
	gone atomic.Bool
	// leaveNotice is true once the server has said in an answer that it leaves.
	leaveNotice atomic.Bool
	// backOff is the time until which the server has asked to get no new work from this instance.
	backOff atomicTime
	limiter limiter
	// ctx ends once another incarnation of the server is known, so that this one no longer runs anything; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// ended is true once the server is known to have terminated.
	ended atomic.Bool
	// leavingSince is when this instance first learned that the server leaves, if it has.
	leavingSince atomicTime
	// possiblyLeaving is true while it is not known whether the server leaves.
	possiblyLeaving atomic.Bool
	// announced are the layers in the newest entry, which may not fit the model, and layers those that the instance works with.
	announced, layers atomic.Pointer[models.Layers]
	// layersAt is when the instance learned of the present layers.
	layersAt atomicTime
	// running is the number of requests of this instance on the server, for any stage.
	running atomic.Int64
	// firstStage is the number of those requests for which the server runs the first stage.
	firstStage atomic.Int64
	// reserved is the memory that the running requests will need, in tokens times layers.
	reserved atomic.Int64

	circuit retry.SyncCircuit

	mu sync.Mutex
	// laterBorn is the start time in the latest report if that is of a later incarnation, or 0.
	laterBorn int64
	// asideUntil is when a server that was set aside may get work again.
	asideUntil time.Time
	// staleUntil is when a server that did not hold the layers of its entry may get work again.
	staleUntil time.Time
	// suspectUntil is the time until which the server is treated as gone because it did not answer.
	suspectUntil time.Time
	// load is what the server last said of its work, at loadAt.
	load         call.Load
	loadAt       time.Time
	memory       memory
	reportSource reportSource
	// refusals counts the refusals since the last success.
	refusals int
	// pace is how many times slower than usual the server was at paceAt, by its report.
	pace   float64
	paceAt time.Time
	// queriedAt is when this instance last queried the server's state.
	queriedAt time.Time
	// answeredAt is when the latest state query was sent that the server has answered.
	answeredAt time.Time
	silence    silence
	// reportedLayers are the layers that the server held by its latest report to this instance.
	reportedLayers models.Layers
	// silenceEndedAt is when this instance first got an answer after the latest silence.
	silenceEndedAt time.Time
	// sharedSilentUntil is when the server may get work again after another instance got no answer from it.
	sharedSilentUntil time.Time
	// refusedAt is when the server last caused the refusal of a request of this instance.
	refusedAt time.Time
	foundWell foundWell
	// finding is the finding of another instance that keeps new work away.
	finding heldFinding
	// firstStageAtLoad is the value of firstStage when load was set, which load includes.
	firstStageAtLoad int64
	// failRate is the exponential moving average of failures: 1 for a request that failed, 0 for one that did not.
	failRate float64
	// leftSilent counts the requests that left the server during its present silence and are not in failRate.
	leftSilent int
	// idle holds the connections that wait for another request.
	idle []*idleConn
}

// NewServer returns the server that the entry describes.
func NewServer(e Entry) *Server {
	s := &Server{incarnation: e.Incarnation(), addr: e.Addr}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.Describe(e)
	s.Update(e)
	return s
}

// Update applies the layers and the leave notice of a newer entry of the same incarnation.
func (s *Server) Update(e Entry) {
	s.Announce(e)
	s.AdoptLayers()
}

// Announce applies the leave notice of a newer entry of the same incarnation, and keeps its layers until they are adopted.
func (s *Server) Announce(e Entry) {
	layers := e.Layers
	s.announced.Store(&layers)
	if e.Leaving {
		s.leaving.Store(true)
	}
}

// AdoptLayers makes the layers of the newest entry those that the instance works with; they must fit the model.
func (s *Server) AdoptLayers() {
	layers := s.announced.Load()
	if was := s.layers.Swap(layers); was != nil && *was != *layers {
		s.clearStale()
	}
}

// Misfit returns why the newest entry does not fit an engine, and whether that is so. An engine of nil is that of a plain service, which
// every server fits.
func (s *Server) Misfit(engine *catalog.Engine) (Misfit, bool) {
	return MisfitOf(engine, s.Kind(), *s.announced.Load())
}

// description is what a server says of itself in its entry apart from its state.
type description struct {
	service, domain, kind string
	slots                 int
	// revision is the position of the entry in the store's sequence of changes.
	revision int64
}

// Describe applies the description in a newer entry of the same incarnation.
func (s *Server) Describe(e Entry) {
	s.described.Store(&description{service: e.Service, domain: e.Domain, kind: e.Kind, slots: e.Slots, revision: e.Revision})
}

// ID returns the name of the server, which its other incarnations may have as well.
func (s *Server) ID() string { return s.incarnation.ID }

// Incarnation returns the server's incarnation.
func (s *Server) Incarnation() Incarnation { return s.incarnation }

// Context returns a context that ends once another incarnation of the server is known.
func (s *Server) Context() context.Context { return s.ctx }

// MarkReplaced records that another incarnation of the server is known: everything that this one was running is lost, and so
// are its connections.
func (s *Server) MarkReplaced() {
	s.MarkEnded()
	s.MarkGone()
	s.cancel()
}

// NoteLaterStart records that a report of a later incarnation has come from the server's address, and reports whether two in a row have
// named that start: a single one may be wrong.
func (s *Server) NoteLaterStart(born int64) (certain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	certain = s.laterBorn == born
	s.laterBorn = born
	return certain
}

// Service returns the name of the service.
func (s *Server) Service() string { return s.described.Load().service }

// Addr returns the server's IP address and port.
func (s *Server) Addr() string { return s.addr }

// Domain returns the server's failure domain.
func (s *Server) Domain() string { return s.described.Load().domain }

// Kind returns the name of the server's kind of accelerator.
func (s *Server) Kind() string { return s.described.Load().kind }

// Slots returns the number of requests that the server runs at once; 0 means that it did not say.
func (s *Server) Slots() int { return s.described.Load().slots }

// NoteLayers records that the instance has learned of the present layers.
func (s *Server) NoteLayers(now time.Time) { s.layersAt.store(now) }

// LayersFor returns how long the instance has known the present layers.
func (s *Server) LayersFor(now time.Time) time.Duration {
	return now.Sub(s.layersAt.load())
}

// Layers returns the range of layers that the server holds by the newest entry that fitted the model.
func (s *Server) Layers() models.Layers { return *s.layers.Load() }

// Leaving reports whether the server takes no new work, since it leaves or its entry was removed.
func (s *Server) Leaving() bool { return s.leaving.Load() || s.gone.Load() || s.leaveNotice.Load() }

// NoteLeaving records when the instance learned that the server leaves. If that is known already, it changes nothing.
func (s *Server) NoteLeaving(now time.Time) { s.leavingSince.storeIfUnset(now) }

// ForgetLeaving resets what NoteLeaving recorded, after the server's entry has come back.
func (s *Server) ForgetLeaving() { s.leavingSince.store(time.Time{}) }

// LeavingFor returns how long the instance has known that the server leaves; 0 means that it does not know of it.
func (s *Server) LeavingFor(now time.Time) time.Duration {
	since := s.leavingSince.load()
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// MarkEnded records that the server has terminated, so that it no longer runs anything.
func (s *Server) MarkEnded() { s.ended.Store(true) }

// NoteAlive records that the server accepted a connection, so that it has not terminated after all. It changes nothing for a server of
// which another incarnation is known.
func (s *Server) NoteAlive() {
	if s.ctx.Err() == nil && !s.gone.Load() {
		s.ended.Store(false)
	}
}

// Ended reports whether the server is known to have terminated.
func (s *Server) Ended() bool { return s.ended.Load() }

// Remove marks the server as gone and closes its idle connections, after its entry was removed. A server whose entry had said
// that it leaves has terminated by then; one whose entry had not is assumed to go on serving.
func (s *Server) Remove() {
	if s.leaving.Load() {
		s.MarkEnded()
	}
	s.MarkGone()
}

// MarkGone marks the server as gone like Remove, but leaves open whether it has terminated: its entry may have expired because
// the server could not renew it in the store.
func (s *Server) MarkGone() {
	s.gone.Store(true)
	s.CloseIdle()
}

// Return records that the server has an entry again after that was removed, so that it has not terminated.
func (s *Server) Return(e Entry) {
	s.Describe(e)
	s.Announce(e)
	s.gone.Store(false)
	s.ended.Store(false)
	if !s.Leaving() {
		s.ForgetLeaving()
	}
}

// SetPossiblyLeaving sets whether the server is possibly leaving; new work is kept away from it while that is so.
func (s *Server) SetPossiblyLeaving(possibly bool) { s.possiblyLeaving.Store(possibly) }

// PossiblyLeaving reports whether the server leaves or is possibly leaving.
func (s *Server) PossiblyLeaving() bool { return s.Leaving() || s.possiblyLeaving.Load() }

// Gone reports whether the server's entry was removed.
func (s *Server) Gone() bool { return s.gone.Load() }

// Running returns the number of requests that this instance has on the server.
func (s *Server) Running() int { return int(s.running.Load()) }

// Reserved returns the memory that the requests of this instance need on the server, in tokens times layers.
func (s *Server) Reserved() float64 { return float64(s.reserved.Load()) }

// Reserve adds a running request that will need the given memory, in tokens times layers.
func (s *Server) Reserve(memory int) {
	s.running.Add(1)
	s.reserved.Add(int64(memory))
}

// Release removes a request that was added by Reserve with the same memory.
func (s *Server) Release(memory int) {
	s.running.Add(-1)
	s.reserved.Add(-int64(memory))
}

// AddFirstStage adds n to the number of requests for which the server runs the first stage; n is 1 or -1.
func (s *Server) AddFirstStage(n int) { s.firstStage.Add(int64(n)) }

// Node returns the server as a node of the graph that paths are chosen in, with the layers of its newest entry; index identifies it there.
func (s *Server) Node(index int, e *catalog.Engine) chain.Node {
	return chain.Node{Server: index, Domain: s.Domain(), Kind: e.Kind(s.Kind()), Layers: *s.announced.Load()}
}
