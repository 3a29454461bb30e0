package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/models"
)

// threeStageCopies returns n copies of a model in one domain, of three servers each.
func threeStageCopies(n int) *backend.Group {
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{
		Layers: 9, LayerMB: 100, TokenBytes: 9000, Step: time.Millisecond, ReadPerSecond: 1e5, UsualPrompt: 100, UsualAnswer: 40,
		Kinds: []catalog.Kind{{Name: "k", MemoryMB: 1000, StepPace: 1, ReadPace: 1}},
	}}
	var servers []*backend.Server
	for i := range n {
		for stage := range 3 {
			servers = append(servers, backend.NewServer(backend.Entry{
				ID: fmt.Sprint("s", i, "-", stage), Service: "s", Addr: fmt.Sprintf("127.0.0.1:%d", 3*i+stage+1), Domain: "a", Kind: "k",
				Layers: models.Layers{First: 3 * stage, End: 3*stage + 3},
			}))
		}
	}
	return backend.NewGroup(service, servers)
}

// simInstance is an instance of a simulated domain, with its own view of the servers.
type simInstance struct {
	group    *backend.Group
	lanes    laneCache
	allowed  float64
	passedOn time.Time
	received time.Time
}

// simDomain simulates a domain in which some servers become slow: each instance queries servers, picks paths for new streams
// and exchanges reports with the first instance, which is the relay.
type simDomain struct {
	all     []*simInstance
	slow    map[string]bool
	random  *rand.Rand
	queries int
}

func (d *simDomain) query(i *simInstance, now time.Time) {
	lanes, _ := i.lanes.get(i.group, now)
	due := bottlenecks(i.group, lanes, "a")
	due.addDomain("a")
	for i.allowed += sharedProbes * probePeriod.Seconds(); i.allowed >= 1; i.allowed-- {
		s := due.draw(now, d.random.Float64())
		if s == nil || !s.TryQuery(now) {
			continue
		}
		d.queries++
		pace := 1.0
		if d.slow[s.ID()] {
			pace = 12
		}
		s.SetPace(pace, now)
		s.SetMemory(100, 1000, 0, now)
	}
}

// exchange passes the reports of an instance to the relay and those of the relay back.
func (d *simDomain) exchange(i *simInstance, now time.Time) {
	passReports(i.group, d.all[0].group, i.passedOn, now, true)
	passReports(d.all[0].group, i.group, i.received, now, false)
	// Reports that the relay gets in this round from later instances are passed on in the next round.
	i.passedOn, i.received = now, now.Add(-1)
}

func passReports(from, to *backend.Group, after, now time.Time, ownOnly bool) {
	for i, s := range from.Servers() {
		if w, ok := s.SharedReport(after, now, ownOnly); ok {
			to.Servers()[i].ApplySharedReport(w, now)
		}
	}
}

// start picks a path for a stream and reports whether a slow server is on it.
func (d *simDomain) start(i *simInstance, now time.Time) bool {
	lanes, _ := i.lanes.get(i.group, now)
	picked := newLaneChoice(i.group, lanes, "a", len(d.all), now).pick()
	for _, hop := range lanes[picked].Hops {
		if d.slow[i.group.Servers()[hop.Server].ID()] {
			return true
		}
	}
	return false
}

// TestStreamsAvoidSlowServersWithinTwoSeconds simulates a domain of 59 instances and 14 copies of a model, of which four
// servers in ten become twelve times slower: a stream through any of them is late. Of the streams that begin two seconds
// later or more, a share of 0.76 passes a slow server if each instance relies on two queries a second of its own; the share
// is 0.02 with one query a second and shared reports.
func TestStreamsAvoidSlowServersWithinTwoSeconds(t *testing.T) {
	const (
		instances    = 59
		slowFrom     = 5 * time.Second
		graceTime    = 2 * time.Second
		end          = 15 * time.Second
		maxLateShare = 0.03
	)
	d := &simDomain{slow: map[string]bool{}, random: rand.New(rand.NewPCG(1, 2))}
	for range instances {
		d.all = append(d.all, &simInstance{group: threeStageCopies(14), allowed: d.random.Float64()})
	}
	start := time.Unix(100, 0)
	late, started := 0, 0
	for at := time.Duration(0); at < end; at += probePeriod {
		now := start.Add(at)
		if at == slowFrom {
			for i, s := range d.all[0].group.Servers() {
				d.slow[s.ID()] = i%5 < 2
			}
		}
		for i, n := range d.all {
			d.query(n, now)
			if (at/probePeriod+time.Duration(i))%4 == 0 {
				d.exchange(n, now)
			}
			if passes := d.start(n, now); at >= slowFrom+graceTime {
				started++
				if passes {
					late++
				}
			}
		}
	}
	require.Less(t, float64(late)/float64(started), maxLateShare)
	require.LessOrEqual(t, float64(d.queries), instances*(sharedProbes*end.Seconds()+1))
}
