package relay

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/demand"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// totalsPeers are instances that answer only requests for totals, as long as they know the call.
type totalsPeers struct {
	peers
	mu    sync.Mutex
	calls map[string]int
	known bool
}

func (p *totalsPeers) totals(_ context.Context, addr string, _ totalsRequest) (totalsReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[addr]++
	if !p.known {
		return totalsReply{}, link.ErrRefused
	}
	return totalsReply{Totals: []demand.Totals{{Service: "chat", Domain: "west", Instances: 2}}}, nil
}

// count returns the calls to an address so far.
func (p *totalsPeers) count(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[addr]
}

// setKnown says whether the instances know the call.
func (p *totalsPeers) setKnown(known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = known
}

// startExchange starts the exchange of an instance of the domain east; the relays are east-1 and west-1.
func startExchange(ctx context.Context, self string, relaysFrom int, peers *totalsPeers) (*Source, *demand.Book) {
	fleet := staticFleet{
		{Name: "east-1", Domain: "east", Addr: "east-1", Power: 2},
		{Name: "east-2", Domain: "east", Addr: "east-2", Power: 1},
		{Name: "west-1", Domain: "west", Addr: "west-1", Power: 2},
		{Name: "west-2", Domain: "west", Addr: "west-2", Power: 1},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	book := demand.NewBook("east")
	one := Self{Name: self, Domain: "east", Addr: self, RelaysFrom: relaysFrom, ApplyTime: applyDeadline}
	source := New(one, nil, fleet, nil, noEnds{}, book, nil, timer.NewReal(), metrics.New(), log)
	source.peers = peers
	NewExchange(ctx, source)
	return source, book
}

// TestAnOldRelayIsAskedSeldom lets a relay ask relays that don't know the call, until they are replaced by new builds.
func TestAnOldRelayIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &totalsPeers{calls: map[string]int{}}
		_, book := startExchange(ctx, "east-1", 2, p)
		time.Sleep(time.Minute)
		for _, addr := range []string{"west-1", "west-2"} {
			require.Greater(t, p.count(addr), 0, addr)
			require.LessOrEqual(t, p.count(addr), 18, addr)
		}
		require.Zero(t, p.count("east-2"))
		p.setKnown(true)
		time.Sleep(2 * maxExchangeBackoff)
		_, ok := book.Totals("chat", "west", time.Now())
		require.True(t, ok)
		cancel()
		synctest.Wait()
	})
}

func TestAFleetWithoutRelaysExchangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &totalsPeers{calls: map[string]int{}}
		source, book := startExchange(ctx, "east-1", 24, p)
		for range 30 {
			time.Sleep(time.Second)
			book.SetOwn("east-1", []demand.Report{{Service: "chat", UnderWay: 1}}, time.Now())
		}
		var q poll
		source.attachLoad(&q, time.Now())
		require.Nil(t, q.Load)
		require.Empty(t, source.knownTotals())
		require.Zero(t, p.count("east-2")+p.count("west-1")+p.count("west-2"))
		cancel()
		synctest.Wait()
	})
}

// TestAnInstanceAsksOutOfTurnOnlyWhileItsRelayAnswersNoPolls gives an instance load to report.
func TestAnInstanceAsksOutOfTurnOnlyWhileItsRelayAnswersNoPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &totalsPeers{calls: map[string]int{}, known: true}
		source, book := startExchange(ctx, "east-2", 2, p)
		report := func(polled bool) {
			book.SetOwn("east-2", []demand.Report{{Service: "chat", UnderWay: 1}}, time.Now())
			if polled {
				source.addPolledTotals([]demand.Totals{{Service: "chat", Domain: "east", Instances: 2}})
			}
			time.Sleep(pollHold)
		}
		for range 20 {
			report(true)
		}
		require.Zero(t, p.count("east-1"))
		for range 20 {
			report(false)
		}
		require.InDelta(t, 20, p.count("east-1"), 3)
		cancel()
		synctest.Wait()
	})
}
