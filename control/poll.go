package control

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/engine"
	"junctioncross/member"
	"junctioncross/timer"
)

const (
	pollPeriod  = 1200 * time.Millisecond
	pollTimeout = 700 * time.Millisecond
	// notReadyPeriod is the interval for servers whose last poll failed or that were not ready.
	notReadyPeriod = 300 * time.Millisecond
	// pollersPerServer is the number of instances that poll each backend server.
	pollersPerServer = 2
	// suspectAfterFailures is the number of consecutive failed polls after which a server is suspect.
	suspectAfterFailures = 3
	listPeriod           = 3 * time.Second
	listTimeout          = 2 * time.Second
)

// poll is the state of this instance's polling of one backend server.
type poll struct {
	due     time.Time
	running bool
	// failures is the number of consecutive failed polls.
	failures int
	// last is the status that was published last.
	last backendStatus
}

// assignPolls selects the servers of the domain that this instance polls.
func (l *Loop) assignPolls() {
	mine := map[string]bool{}
	for name, b := range l.backends {
		if b.spec.Domain != l.self.Domain {
			continue
		}
		at := member.Position(l.members.live, name, l.self.Name)
		if at < 0 || at >= pollersPerServer {
			continue
		}
		mine[name] = true
		if l.polls[name] == nil {
			l.polls[name] = &poll{due: l.deps.Clock.Now().Add(jittered(pollPeriod / 2))}
		}
	}
	for name := range l.polls {
		if !mine[name] {
			delete(l.polls, name)
			l.table.Set(prefixBackend+name, nil)
		}
	}
}

// startPolls requests reports from the servers whose polls are due.
func (l *Loop) startPolls() {
	now := l.deps.Clock.Now()
	for name, p := range l.polls {
		if p.running || now.Before(p.due) {
			continue
		}
		p.running = true
		p.due = now.Add(pollPeriod)
		addr := l.backends[name].spec.Addr
		go func() {
			report, err := l.deps.Engines.Report(addr, pollTimeout)
			l.post(reportArrived{name: name, report: report, err: err})
		}()
	}
}

// handleReport publishes the result of a poll if it differs from the last published one.
func (l *Loop) handleReport(m reportArrived) {
	p := l.polls[m.name]
	if p == nil {
		return
	}
	p.running = false
	if m.err != nil || m.report.State != engine.StateReady {
		p.due = l.deps.Clock.Now().Add(notReadyPeriod)
	}
	next := p.last
	if m.err != nil {
		p.failures++
		next.Silent = p.failures >= suspectAfterFailures || errors.Is(m.err, engine.ErrUnreachable)
	} else {
		p.failures = 0
		next = statusOf(m.report)
	}
	if next.Incarnation == 0 || next.equalIgnoringSequence(p.last) {
		return
	}
	p.last = next
	l.table.Set(prefixBackend+m.name, encode(next))
	l.scheduleUpdate()
}

// statusOf returns what is published of a server after a report.
func statusOf(r engine.Report) backendStatus {
	return backendStatus{
		Incarnation: r.Incarnation, Sequence: r.Sequence, State: r.State,
		Model: r.Model, Version: r.Version, Layers: r.Layers, Leaving: r.Leaving,
	}
}

// pollList reads the platform's instance list once at the start, and then periodically on relays and on instances that know no
// others.
func (l *Loop) pollList(ctx context.Context) {
	for first := true; ; first = false {
		if first || l.relay.Load() || l.alone.Load() {
			if lines, err := l.readList(); err == nil {
				l.post(listArrived{lines: lines})
			} else {
				l.deps.Stats.Counter("list_errors_total").Inc(1)
			}
		}
		if !l.deps.Clock.Sleep(ctx, timer.HalfJitter(listPeriod)) {
			return
		}
	}
}

// readList reads the platform's instance list.
func (l *Loop) readList() ([]member.ListedInstance, error) {
	status, body, err := l.http.GetTimeout(nil, "http://"+l.self.ListAddr+member.PathInstances, listTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "control: read list")
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("control: read list: status %d", status)
	}
	var lines []member.ListedInstance
	err = json.Unmarshal(body, &lines)
	return lines, errors.Wrap(err, "control: read list")
}

// handleList stores the platform's list and publishes the servers that it marks as leaving. A server stays marked, even without a
// line in the list, until the list shows it as not leaving: the mark holds as long as the server's process lives.
func (l *Loop) handleList(lines []member.ListedInstance) {
	l.listed = lines
	l.exchangeWithUnknown()
	for _, line := range lines {
		if line.Role == member.RoleBackend && line.Leaving {
			l.listedLeaving[line.Name] = true
		}
		if line.Role == member.RoleBackend && !line.Leaving {
			delete(l.listedLeaving, line.Name)
		}
	}
	names := make([]string, 0, len(l.listedLeaving))
	for n := range l.listedLeaving {
		names = append(names, n)
	}
	sort.Strings(names)
	l.table.Set(entryLeaving, encode(names))
	l.scheduleUpdate()
}
