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
	// fullBackOff is how long a server that had no room is left alone at first: about the age of what is known of its memory.
	// The time doubles with each refusal up to longestFull, since a server that is gone refuses in the same words until its
	// entry vanishes.
	fullBackOff    = 250 * time.Millisecond
	maxFullBackOff = 2 * time.Second
	// maxPaceAge is how long a server's word on its pace counts.
	maxPaceAge = 3 * time.Second
	// queryInterval is how often a server may be asked for its state by one instance: each question has its price, and an answer is
	// some 200 ms old, so that a second question within that time learns nothing new.
	queryInterval = 240 * time.Millisecond
	// maxStaleTime is how long a server that did not hold its layers is left alone at most, if its entry does not tell before what it
	// holds.
	maxStaleTime = time.Second
	// failWeight is the weight of the newest request in the share of failures: some ten requests tell a bad server.
	failWeight = 0.1
)

// Server is one start of a backend server.
type Server struct {
	incarnation Incarnation
	service     string
	addr        string
	domain      string
	slots       int
	kind        string

	leaving atomic.Bool
	gone    atomic.Bool
	// leaveNotice is true once the server has said in an answer that it leaves.
	leaveNotice atomic.Bool
	// backOff is until when the server wants nothing new from this instance.
	backOff atomicTime
	limiter limiter
	// ctx ends once another start of the server is known, so that nothing is at work at this one; finish ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// ended is true once nothing listens at the server's address any more, as far as known.
	ended atomic.Bool
	// leavingSince is when this instance first heard that the server leaves, if it has.
	leavingSince atomicTime
	// possiblyLeaving is true while it is not known whether the server leaves.
	possiblyLeaving atomic.Bool
	layers          atomic.Pointer[models.Layers]
	// layersAt is when the instance heard of the present layers.
	layersAt atomicTime
	// running counts the requests of this instance on the server, as the first or any other part.
	running atomic.Int64
	// firstStage counts those of which the server is the first part.
	firstStage atomic.Int64
	// reserved is the memory that these will need, in tokens times layers.
	reserved atomic.Int64

	circuit retry.Guard

	mu sync.Mutex
	// asideUntil is when the server may get work again.
	asideUntil time.Time
	// staleUntil is until when the server is left alone since it did not hold what its entry said.
	staleUntil time.Time
	// suspectUntil is until when the server is taken as gone because it did not answer.
	suspectUntil time.Time
	load         call.Load
	loadAt       time.Time
	memory       memory
	reportSource reportSource
	// refusals counts the refusals since the last success.
	refusals int
	// pace is how many times slower than usual the server said to be, at paceAt.
	pace   float64
	paceAt time.Time
	// queriedAt is when the server was last queriedAt for its state.
	queriedAt time.Time
	// answeredAt is when the server last answeredAt a question of this instance, and silent when it did not.
	answeredAt time.Time
	silentAt   time.Time
	// firstStageAtLoad is the number of own requests that the load included.
	firstStageAtLoad int64
	// failRate is the share of the latest requests that failed.
	failRate float64
	idle     []*idleConn
}

// NewServer returns the server that the entry describes.
func NewServer(e Entry) *Server {
	s := &Server{incarnation: e.Incarnation(), service: e.Service, addr: e.Addr, domain: e.Domain, slots: e.Slots, kind: e.Kind}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.Update(e)
	return s
}

// Update takes over what a newer entry of the same start says.
func (s *Server) Update(e Entry) {
	layers := e.Layers
	if was := s.layers.Swap(&layers); was != nil && *was != layers {
		s.clearStale()
	}
	if e.Leaving {
		s.leaving.Store(true)
	}
}

// ID returns the name of the server, which other starts of it may have as well.
func (s *Server) ID() string { return s.incarnation.ID }

// Incarnation returns which start of the server this is.
func (s *Server) Incarnation() Incarnation { return s.incarnation }

// Over returns what ends once another start of the server is known.
func (s *Server) Over() context.Context { return s.ctx }

// Finish notes that another start of the server is known: whatever was under way at this one is lost, and so are its connections.
func (s *Server) Finish() {
	s.End()
	s.Lapse()
	s.cancel()
}

// Service returns the name of the service.
func (s *Server) Service() string { return s.service }

// Addr returns the server's IP number and port.
func (s *Server) Addr() string { return s.addr }

// Domain returns the server's failure domain.
func (s *Server) Domain() string { return s.domain }

// Kind returns the name of the server's kind of accelerator.
func (s *Server) Kind() string { return s.kind }

// Slots returns the number of requests that the server runs at once; 0 means that it did not say.
func (s *Server) Slots() int { return s.slots }

// NoteLayers keeps when the instance heard of the present layers.
func (s *Server) NoteLayers(now time.Time) { s.layersAt.store(now) }

// LayersFor returns for how long the instance has known the present layers.
func (s *Server) LayersFor(now time.Time) time.Duration {
	return now.Sub(s.layersAt.load())
}

// Layers returns the range that the server holds.
func (s *Server) Layers() models.Layers { return *s.layers.Load() }

// Leaving reports whether the server takes no new work.
func (s *Server) Leaving() bool { return s.leaving.Load() || s.gone.Load() || s.leaveNotice.Load() }

// NoteLeaving keeps when the instance first heard that the server leaves; later calls change nothing.
func (s *Server) NoteLeaving(now time.Time) { s.leavingSince.storeIfUnset(now) }

// ForgetLeaving takes back that the server leaves, since its entry is there again.
func (s *Server) ForgetLeaving() { s.leavingSince.store(time.Time{}) }

// LeavingFor returns for how long the instance has known that the server leaves, 0 when it has not heard of it.
func (s *Server) LeavingFor(now time.Time) time.Duration {
	since := s.leavingSince.load()
	if since.IsZero() {
		return 0
	}
	return now.Sub(since)
}

// End notes that the server has ended, so that nothing is at work there.
func (s *Server) End() { s.ended.Store(true) }

// Ended reports whether the server has ended.
func (s *Server) Ended() bool { return s.ended.Load() }

// Remove marks the server as gone and closes the connections that rest. One whose entry had said that it leaves has ended by then, while
// one that leaves without a word there serves on.
func (s *Server) Remove() {
	if s.leaving.Load() {
		s.End()
	}
	s.Lapse()
}

// Lapse marks the server as gone like Remove, where its entry may have gone because the store did not hear of it: whether it has ended is
// not known.
func (s *Server) Lapse() {
	s.gone.Store(true)
	s.closeIdle()
}

// Doubt keeps new work away from the server, or no longer.
func (s *Server) Doubt(possibly bool) { s.possiblyLeaving.Store(possibly) }

// Departs reports whether the server leaves, or may well do so as far as known.
func (s *Server) Departs() bool { return s.Leaving() || s.possiblyLeaving.Load() }

// Gone reports whether the server's entry was removed.
func (s *Server) Gone() bool { return s.gone.Load() }

// Running returns the number of requests that this instance has on the server.
func (s *Server) Running() int { return int(s.running.Load()) }

// Reserved returns the memory that these need, in tokens times layers.
func (s *Server) Reserved() float64 { return float64(s.reserved.Load()) }

// Reserve counts one more request that will need that memory.
func (s *Server) Reserve(memory int) {
	s.running.Add(1)
	s.reserved.Add(int64(memory))
}

// Release takes one request off again.
func (s *Server) Release(memory int) {
	s.running.Add(-1)
	s.reserved.Add(-int64(memory))
}

// Start counts one more request of which the server is the first part, or with -1 one less.
func (s *Server) Start(n int) { s.firstStage.Add(int64(n)) }

// Node returns the server as a node of a chain's graph; index is how the graph names it.
func (s *Server) Node(index int, e *catalog.Engine) chain.Node {
	return chain.Node{Server: index, Domain: s.domain, Kind: e.Kind(s.kind), Layers: s.Layers()}
}
