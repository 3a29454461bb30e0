package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"junctioncross/quarantine"
)

const (
	// simulatedTime is how long a simulated fleet runs, and harmFrom when the first harmful request comes unless it is a fresh one.
	simulatedTime = 40 * time.Second
	harmFrom      = 4 * time.Second
	// restartTime is how long a server that terminated is away, and provedAfter how long a run takes to prove a request harmless.
	restartTime = 3 * time.Second
	provedAfter = time.Second
	// justBegun is how long ago a server must have begun at most to count as having just begun.
	justBegun = 200 * time.Millisecond
	// beginningTime is how long ago it must have begun at most for its parts to be suspected.
	beginningTime = 2 * justBegun
	// maxTries is the number of servers that one attempt of a caller is sent to.
	maxTries = 3
)

// fleetCase describes a simulated fleet.
type fleetCase struct {
	name      string
	instances int
	// cutOff is the share of instances that neither publish ends nor read those of others.
	cutOff float64
	// harmful lists prompts with a harmful part; %d stands for something that differs each time.
	harmful [][]string
	// harmPeriod is the time between two harmful requests, and crashPeriod that between two crashes without a cause in a request;
	// 0 for none.
	harmPeriod, crashPeriod time.Duration
	// fresh has harmful requests come from the start.
	fresh bool
	// headless has servers terminate before they begin to answer.
	headless bool
	// herdAt is when half of the servers crash at once; 0 for never.
	herdAt time.Duration
	// quick has servers begin to answer within milliseconds, so that one request can terminate several of them before the next comes.
	quick bool
	// oneRoute has all sound requests share their first part.
	oneRoute bool
	// fewParts has all sound requests share three second parts.
	fewParts bool
	// proofless has instances learn of ends from each other, but not of proofs, as while the store is away.
	proofless bool
}

// simulatedRequest is one attempt of a caller.
type simulatedRequest struct {
	id       int
	instance int
	parts    []string
	harmful  bool
	tries    int
	refused  bool
	// begunFirst is true if its first server began to answer it.
	begunFirst bool
	at         time.Duration
}

// simulatedRun is a request at a server.
type simulatedRun struct {
	*simulatedRequest
	begun   bool
	begunAt time.Duration
	ended   bool
}

type simulatedServer struct {
	incarnation int
	down        bool
	runs        map[*simulatedRun]bool
}

// sentAt is when a request with a harmful part was sent, and from which instance.
type sentAt struct {
	at       time.Duration
	instance int
	parts    []string
}

// simulation plays requests in a fleet of which each instance has a book of its own.
type simulation struct {
	fleetCase
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	books    []*quarantine.Book
	cut      []bool
	servers  []*simulatedServer
	requests []*simulatedRequest
	sent     []sentAt
	// crashed lists when servers terminated under harmful requests, with the parts of these.
	crashed []sentAt
}

// simulate plays a fleet.
func simulate(c fleetCase, seed uint64) *simulation {
	s := &simulation{fleetCase: c, random: rand.New(rand.NewPCG(seed, 1))}
	for n := range c.instances {
		s.books = append(s.books, quarantine.NewBook(quarantine.Settings{Ends: 3, EndsOfOne: 4, Keep: 10 * time.Minute, MaxRequests: 4096}))
		s.cut = append(s.cut, float64(n) < c.cutOff*float64(c.instances))
	}
	for range max(8, c.instances/4) {
		s.servers = append(s.servers, &simulatedServer{runs: map[*simulatedRun]bool{}})
	}
	s.startCallers()
	s.startHarm()
	s.every(0, 250*time.Millisecond, func(int) { s.shareProofs() })
	s.playEvents()
	return s
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) time() time.Time { return startTime.Add(s.now) }

// startCallers has sound requests come: of three routes with a first part each, four in a row with the same second part.
func (s *simulation) startCallers() {
	period := min(25*time.Millisecond, 400*time.Millisecond/time.Duration(s.instances))
	s.every(0, max(period, 4*time.Millisecond), func(n int) {
		caller := s.random.IntN(12)
		second := fmt.Sprint("c", caller, "-", n/48)
		if s.fewParts {
			second = fmt.Sprint("c", caller%3)
		}
		s.arrive([]string{fmt.Sprint("f", caller%s.routes()), second}, false)
	})
}

// routes returns the number of routes of the sound requests.
func (s *simulation) routes() int {
	if s.oneRoute {
		return 1
	}
	return 3
}

// untilBegun draws how long a server takes to begin to answer a request.
func (s *simulation) untilBegun() time.Duration {
	if s.quick {
		return s.between(5*time.Millisecond, 30*time.Millisecond)
	}
	return s.between(20*time.Millisecond, 300*time.Millisecond)
}

// untilCrash draws how long after that a harmful request terminates it.
func (s *simulation) untilCrash() time.Duration {
	if s.quick {
		return s.between(20*time.Millisecond, 40*time.Millisecond)
	}
	return s.between(20*time.Millisecond, 120*time.Millisecond)
}

func (s *simulation) startHarm() {
	from := harmFrom
	if s.fresh {
		from = 0
	}
	if s.harmPeriod > 0 {
		s.every(from, s.harmPeriod, func(n int) { s.arrive(s.harmful[n%len(s.harmful)], true) })
	}
	if s.crashPeriod > 0 {
		s.every(from, s.crashPeriod, func(int) { s.crash(s.servers[s.random.IntN(len(s.servers))]) })
	}
	if s.herdAt > 0 {
		s.after(s.herdAt, func() {
			for _, server := range s.servers[:len(s.servers)/2] {
				s.crash(server)
			}
		})
	}
}

func (s *simulation) arrive(parts []string, harmful bool) {
	r := &simulatedRequest{id: len(s.requests), instance: s.random.IntN(s.instances), parts: parts, harmful: harmful, at: s.now}
	s.requests = append(s.requests, r)
	s.send(r)
}

// send sends a request to a server, unless it is quarantined.
func (s *simulation) send(r *simulatedRequest) {
	book := s.books[r.instance]
	_, whole := book.Quarantined(request(r.id), quarantine.ShortDigest(fmt.Sprint(r.id)), s.time())
	parts := quarantine.PartsOf(service, r.parts)
	_, _, part := book.QuarantinedPart(parts, s.time())
	if whole || part && !book.Try(request(r.id), quarantine.ShortDigest(fmt.Sprint(r.id)), parts, s.time()) {
		r.refused = true
		return
	}
	server := s.anyServer()
	if server == nil || r.tries >= maxTries {
		return
	}
	r.tries++
	if r.harmful {
		s.sent = append(s.sent, sentAt{at: s.now, instance: r.instance, parts: r.parts})
	}
	run := &simulatedRun{simulatedRequest: r}
	server.runs[run] = true
	s.after(s.untilBegun(), func() { s.begin(server, run) })
}

// anyServer returns a server that is up, or nil.
func (s *simulation) anyServer() *simulatedServer {
	for range 4 * len(s.servers) {
		if server := s.servers[s.random.IntN(len(s.servers))]; !server.down {
			return server
		}
	}
	return nil
}

func (s *simulation) begin(server *simulatedServer, run *simulatedRun) {
	if run.ended {
		return
	}
	if !run.harmful || !s.headless {
		run.begun, run.begunAt = true, s.now
	}
	if run.harmful {
		s.after(s.untilCrash(), func() {
			if !run.ended {
				s.crashed = append(s.crashed, sentAt{at: s.now, instance: run.instance, parts: run.parts})
				s.crash(server)
			}
		})
		return
	}
	run.begunFirst = run.begunFirst || run.tries == 1
	s.after(provedAfter, func() {
		if !run.ended {
			s.prove(run)
		}
	})
	s.after(s.between(500*time.Millisecond, 4*time.Second), func() {
		if !run.ended {
			run.ended = true
			delete(server.runs, run)
			s.prove(run)
		}
	})
}

func (s *simulation) prove(run *simulatedRun) {
	s.books[run.instance].Prove(quarantine.PartsOf(service, run.parts), s.time())
	s.books[run.instance].Clear(request(run.id))
}

// shareProofs has one instance publish the proofs that it has, as the Publisher does.
func (s *simulation) shareProofs() {
	for n, book := range s.books {
		proofs := book.PendingProofs(24)
		if len(proofs) == 0 || s.cut[n] || s.proofless {
			continue
		}
		book.AddProofs(proofs, s.time())
		s.after(s.between(100*time.Millisecond, 600*time.Millisecond), func() {
			for o, other := range s.books {
				if !s.cut[o] {
					other.AddProofs(proofs, s.time())
				}
			}
		})
		return
	}
}

// crash terminates a server; what it ran goes on at others.
func (s *simulation) crash(server *simulatedServer) {
	if server.down {
		return
	}
	runs := server.runs
	name := fmt.Sprint(server.incarnation, "-", s.now)
	server.down, server.runs = true, map[*simulatedRun]bool{}
	server.incarnation++
	s.after(restartTime, func() { server.down = false })
	for _, run := range inOrder(runs) {
		run.ended = true
		if run.begun && s.now-run.begunAt >= provedAfter {
			s.prove(run)
		} else {
			s.suspect(run, name)
		}
		s.send(run.simulatedRequest)
	}
}

// inOrder returns runs in the order of their requests, so that a play does not depend on that of a map.
func inOrder(runs map[*simulatedRun]bool) []*simulatedRun {
	var out []*simulatedRun
	for run := range runs {
		out = append(out, run)
	}
	slices.SortFunc(out, func(a, b *simulatedRun) int { return a.id - b.id })
	return out
}

// suspect records the end of a server under a run and has the other instances learn of it.
func (s *simulation) suspect(run *simulatedRun, server string) {
	book := s.books[run.instance]
	end := quarantine.NewEnd(request(run.id), server, fmt.Sprint(run.id))
	hasJustBegun := run.begun && s.now-run.begunAt <= justBegun
	var parts []quarantine.Part
	if !run.begun || s.now-run.begunAt <= beginningTime {
		parts = book.Unproven(quarantine.PartsOf(service, run.parts), s.time())
	}
	end.Suspects = quarantine.NewSuspects(service, parts, hasJustBegun)
	book.Suspect(end, s.time())
	s.after(s.between(50*time.Millisecond, 600*time.Millisecond), func() {
		book.Confirm(end, s.time())
		if s.cut[run.instance] {
			return
		}
		s.after(s.between(100*time.Millisecond, 600*time.Millisecond), func() {
			for n, other := range s.books {
				if !s.cut[n] {
					other.AddListed(end, s.time())
				}
			}
		})
	})
}
