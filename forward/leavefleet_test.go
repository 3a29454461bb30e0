package forward

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/decision"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/retry"
	"junctioncross/testlog"
	"junctioncross/timer"
)

const (
	// leaveFleetFor is how long a play of an instance lasts.
	leaveFleetFor = 5 * time.Second
	// leaveFleetLater is for how long the queries are counted after that.
	leaveFleetLater = 20 * time.Second
	// leaveFleetStep is how often streams are looked at.
	leaveFleetStep = 10 * time.Millisecond
	// leaveFleetStreams is the number of streams of the instance, and leaveFleetRequests that of its requests in the window before.
	leaveFleetStreams  = 48
	leaveFleetRequests = 60
	// leavesWithin is within what time a stream leaves a run that cannot go on once it may: two scans, the first of which may be just over.
	leavesWithin = 2*watchPeriod + time.Millisecond
)

// leaveFleetRepeats are the limits on retries of the play.
var leaveFleetRepeats = retry.Limit{Window: 10 * time.Second, Share: 0.2, Fixed: 100}

// othersReports is what others report while instances share their reports: nothing of these servers.
var othersReports = []backend.SharedReport{{ID: "other"}}

// slowEngineClient leaves the queries to silent servers without an answer until their context ends.
type slowEngineClient struct{ *fakeEngineClient }

// Report implements backend.EngineClient.
func (e slowEngineClient) Report(ctx context.Context, addr string) (backend.Report, error) {
	report, err := e.fakeEngineClient.Report(ctx, addr)
	if err != nil {
		<-ctx.Done()
	}
	return report, err
}

// lostDialer is the dialer of an instance that has lost its paths to some servers.
type lostDialer struct {
	backend.DirectDialer
	mu   sync.Mutex
	lost map[string]bool
}

// Lost implements backend.Dialer.
func (d *lostDialer) Lost(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost[addr]
}

// growingConn is a connection on which bytes come as often as it is read.
type growingConn struct{ net.Conn }

// Read implements net.Conn.
func (growingConn) Read(p []byte) (int, error) { return len(p), nil }

// leavingStream is a stream that cannot go on where it runs.
type leavingStream struct {
	*inflight
	why runEnd
	at  net.Conn
}

// leaveFleet is one instance of a fleet with streams that cannot go on; the instance's own watcher acts on them.
type leaveFleet struct {
	handler *Handler
	engines *fakeEngineClient
	dialer  *lostDialer
	group   *backend.Group
	streams []leavingStream
	// left is how many streams have left their runs in each second.
	left map[int]int
}

// leaveEnds are the reasons for which the streams of the play leave their runs.
var leaveEnds = []runEnd{endLostPath, endSilent, endEndless}

// newLeaveFleet returns an instance of a fleet of that many; it must run in a bubble.
func newLeaveFleet(t *testing.T, instances int, limit retry.Limit) *leaveFleet {
	g := leaveFleetGroup()
	l := &leaveFleet{engines: newFakeEngineClient(g), dialer: &lostDialer{lost: map[string]bool{}}, group: g, left: map[int]int{}}
	clock, stats := timer.NewReal(), metrics.New()
	settings := Settings{Domain: "a", Repeats: limit, DrainTime: 3 * time.Second}
	ctx, stop := context.WithCancel(t.Context())
	l.handler = New(ctx, settings, follow.NewFleetView(), nil, slowEngineClient{l.engines}, l.dialer, clock, stats,
		decision.NewRecorder(testlog.New(t), clock, stats), fleetOf(instances), testBook(), noPublisher{}, nil)
	t.Cleanup(func() {
		stop()
		// Queries under way end with their time-outs.
		time.Sleep(time.Second)
	})
	withFullRetryBudget(l.handler)
	removeServices(t, l.handler)
	return l
}

// leaveFleetGroup returns four servers at which streams cannot go on or that serve these, and copies of them.
func leaveFleetGroup() *backend.Group {
	service := twoCopies().Service()
	var servers []*backend.Server
	for copies := range 4 {
		for _, s := range twoCopies().Servers()[:2] {
			n := len(servers)
			servers = append(servers, backend.NewServer(backend.Entry{
				ID: fmt.Sprint("c", copies, s.ID()), Service: service.Name, Addr: fmt.Sprint("127.0.0.1:", n+1), Domain: "a", Kind: "k", Layers: s.Layers(),
			}))
		}
	}
	return backend.NewGroup(service, servers)
}

// firstOf returns the first server of the streams that leave for a reason; those of the last copy are sound.
func (l *leaveFleet) firstOf(why runEnd) *backend.Server {
	switch why {
	case endLostPath:
		return l.group.Servers()[0]
	case endSilent:
		return l.group.Servers()[2]
	default:
		return l.group.Servers()[4]
	}
}

// add adds a stream whose answer has begun and that cannot go on for a reason.
func (l *leaveFleet) add(t *testing.T, why runEnd) {
	h, n := l.handler, len(l.streams)
	first := 0
	for i, s := range l.group.Servers() {
		if s == l.firstOf(why) {
			first = i
		}
	}
	f := newActiveStream(h, l.group, fmt.Sprint(why, "-", n), h.clock.Since(h.watch.start), first, first+1)
	f.begun.Store(true)
	near, _ := tcpPair(t)
	conn := &backend.Conn{Conn: near}
	if why == endEndless {
		conn.Conn = growingConn{Conn: near}
	}
	h.watch.mu.Lock()
	f.conn = conn
	h.watch.mu.Unlock()
	l.streams = append(l.streams, leavingStream{inflight: f, why: why, at: near})
}

// begin makes runs unable to go on: the paths to one server are lost, and another one is silent.
func (l *leaveFleet) begin() {
	l.dialer.mu.Lock()
	l.dialer.lost[l.firstOf(endLostPath).Addr()] = true
	l.dialer.mu.Unlock()
	l.engines.setSilent(l.firstOf(endSilent), true)
}

// run passes time; streams that have left their runs for a next path go on there, and none may have been closed without one.
func (l *leaveFleet) run(t *testing.T, start time.Time, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(min(leaveFleetStep, time.Until(end)))
		synctest.Wait()
		l.handler.fleetView.ApplySharedReports(othersReports, time.Now())
		l.settle(t, int(time.Since(start)/time.Second))
	}
}

func (l *leaveFleet) settle(t *testing.T, second int) {
	buffer := make([]byte, 1)
	var stay []leavingStream
	for _, s := range l.streams {
		if isOpen(s.at) {
			if s.why == endEndless {
				_, err := s.conn.Read(buffer)
				require.NoError(t, err)
			}
			require.Nil(t, s.next.Load(), "%s: it goes on", s.r.meta.ID)
			stay = append(stay, s)
			continue
		}
		require.NotNil(t, s.takeNext(), "%s: it was closed without a next path", s.r.meta.ID)
		require.Equal(t, s.why, s.runEnded(), s.r.meta.ID)
		l.handler.watch.remove(s.inflight)
		s.release()
		l.left[second]++
	}
	l.streams = stay
}

func (l *leaveFleet) countLeft() int {
	n := 0
	for _, left := range l.left {
		n += left
	}
	return n
}

// queriesOf returns how many queries the instance has made of a server.
func (l *leaveFleet) queriesOf(s *backend.Server) int {
	l.engines.mu.Lock()
	defer l.engines.mu.Unlock()
	return l.engines.queries[s.Addr()]
}

// TestStreamsOfALargeFleetLeaveTheirRunsWithinTheLimits guards against hand-overs and queries that grow with the number of instances.
func TestStreamsOfALargeFleetLeaveTheirRunsWithinTheLimits(t *testing.T) {
	for _, instances := range []int{7, 87, 985} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLeaveFleet(t, instances, leaveFleetRepeats)
				for range leaveFleetRequests {
					l.handler.countRequest(&request{group: l.group})
				}
				for n := range leaveFleetStreams {
					l.add(t, leaveEnds[n%len(leaveEnds)])
				}
				allowed := l.handler.allowance(l.group.Service().Name)
				start := time.Now()
				l.begin()
				l.run(t, start, leaveFleetFor)
				atFirst := l.queriesOf(l.firstOf(endSilent))
				refilled := 0.5 * leaveFleetRepeats.Fixed / float64(instances) * leaveFleetFor.Seconds() / leaveFleetRepeats.Window.Seconds()
				require.LessOrEqual(t, float64(l.countLeft()), allowed.Left+refilled)
				require.GreaterOrEqual(t, l.countLeft(), min(leaveFleetStreams, int(allowed.Left)), "the retries are used")
				require.LessOrEqual(t, float64(atFirst), 2*queryBurst)
				l.run(t, start, leaveFleetLater)
				later := l.queriesOf(l.firstOf(endSilent)) - atFirst
				t.Logf("left in each second %v, of %d; retries %.1f at the beginning; queries of the silent server %d in %v, %d in the next %v",
					l.left, leaveFleetStreams, allowed.Left, atFirst, leaveFleetFor, later, leaveFleetLater)
				// A diagnosis queries a silent server twice.
				most := probesPerSecond + 2*queriesPerServer*float64(len(l.group.Servers()))
				require.LessOrEqual(t, float64(later), most/float64(instances)*leaveFleetLater.Seconds()+2)
			})
		})
	}
}

// TestAStreamThatCouldNotLeaveDoesSoSoonAfterItMay guards against streams that are not tried again once a path or a retry is there.
func TestAStreamThatCouldNotLeaveDoesSoSoonAfterItMay(t *testing.T) {
	const aside = 2 * time.Second
	for _, why := range leaveEnds {
		for _, instances := range []int{7, 87, 985} {
			t.Run(fmt.Sprintf("%s, %d instances, path", why, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLeaveFleet(t, instances, leaveFleetRepeats)
					for range leaveFleetRequests {
						l.handler.countRequest(&request{group: l.group})
					}
					l.add(t, why)
					l.begin()
					start := time.Now()
					for _, s := range l.group.Servers() {
						s.SetAside(start.Add(aside))
					}
					l.run(t, start, aside-time.Millisecond)
					require.Zero(t, l.countLeft(), "there is no path")
					l.run(t, start, leavesWithin)
					require.Equal(t, 1, l.countLeft())
				})
			})
			t.Run(fmt.Sprintf("%s, %d instances, retry", why, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newLeaveFleet(t, instances, retry.Limit{Window: time.Second})
					l.add(t, why)
					l.begin()
					start := time.Now()
					l.run(t, start, aside)
					require.Zero(t, l.countLeft(), "there is no retry")
					l.handler.ApplySettings(Settings{Domain: "a", Repeats: leaveFleetRepeats, DrainTime: 3 * time.Second})
					for range leaveFleetRequests {
						l.handler.countRequest(&request{group: l.group})
					}
					l.run(t, start, leavesWithin)
					require.Equal(t, 1, l.countLeft())
				})
			})
		}
	}
}
