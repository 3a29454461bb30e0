package main

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// graceTime is the bound grace_s.
	graceTime = 8 * time.Second
	// restingCallers is the number of callers that keep a connection to the instance that is stopped. Each takes its connection up again
	// once, restSpread after the one before: all of them within less than four fifths of idle_timeout_ms.
	restingCallers = 278
	restSpread     = 25 * time.Millisecond
	// silenceAfter is how long after SIGTERM one sound server falls silent, and silenceTime for how long.
	silenceAfter = 6930 * time.Millisecond
	silenceTime  = time.Second
	// excusedTime is seven tenths of the time that a request has.
	excusedTime = 7 * timeoutMS * time.Millisecond / 10
)

// playStop stops one instance as planned while callers keep connections to it that they take up again before grace_s is over. One sound
// server falls silent for a second meanwhile.
func playStop(s *site, trouble bool) (verdict, error) {
	servers, err := s.startServers(deskWork)
	if err != nil {
		return verdict{}, err
	}
	if err := s.startInstances(); err != nil {
		return verdict{}, err
	}
	i := s.instances[0]
	callers, err := s.connectAll(i)
	if err != nil {
		return verdict{}, err
	}
	stopped := time.Now()
	if trouble {
		i.stop(graceTime)
	}
	time.AfterFunc(silenceAfter, func() { servers[0].fallSilent(silenceTime) })
	lost := make([]string, len(callers))
	var all sync.WaitGroup
	for n, c := range callers {
		all.Go(func() {
			time.Sleep(time.Until(stopped.Add(time.Duration(n) * restSpread)))
			lost[n] = s.sendOrder(c, fmt.Sprintf("order-%d", n), stopped, servers)
		})
	}
	all.Wait()
	return countLost(lost), nil
}

// errNotKept means that a caller has no connection to keep.
var errNotKept = errors.New("the connection was not kept")

// connectAll opens a connection of each caller to an instance and has one request answered on each.
func (s *site) connectAll(i *instance) ([]*caller, error) {
	callers := make([]*caller, restingCallers)
	failed := make([]error, len(callers))
	// As many at once as the servers have slots.
	places := make(chan struct{}, slots*len(zones))
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			callers[n] = &caller{addr: i.callers}
			failed[n] = callers[n].settle(fmt.Sprintf("first-%d", n))
		})
	}
	all.Wait()
	for _, err := range failed {
		if err != nil {
			return nil, err
		}
	}
	s.out.line("%d callers keep connections to %s", len(callers), i.name)
	return callers, nil
}

const (
	// settleTries is how often a caller tries to get a connection that it may keep, and settlePause the pause between two tries: an
	// instance that is short of processor time closes some new connections unread.
	settleTries = 20
	settlePause = 100 * time.Millisecond
)

// settle has a request answered on a connection that the instance keeps open after it.
func (c *caller) settle(id string) error {
	last := errNotKept
	for n := range settleTries {
		a := c.do(&request{id: fmt.Sprintf("%s-%d", id, n), method: http.MethodPost, path: oncePath + "order", body: "a first order"})
		if a.status == http.StatusOK && c.conn != nil {
			return nil
		}
		last = fmt.Errorf("%s was not served before the disruption, status %d: %w", id, a.status, cmp.Or(a.err, errNotKept))
		time.Sleep(settlePause)
	}
	return last
}

// sendOrder sends one request on the connection that the caller has kept, and returns how it was lost, or nothing.
func (s *site) sendOrder(c *caller, id string, stopped time.Time, servers []*server) string {
	begun := time.Now()
	a := c.do(&request{id: id, method: http.MethodPost, path: oncePath + "order", body: "an order"})
	took, runs := time.Since(begun).Round(time.Millisecond), len(runsOf(servers, id))
	s.out.line("%s, sent %v after the stop: status %d, error %v, after %v, runs %d",
		id, begun.Sub(stopped).Round(time.Millisecond), a.status, a.err, took, runs)
	// A request that was not passed on may have crossed the close of its connection, and one that has used its time is excused.
	if a.err == nil || runs == 0 || took >= excusedTime {
		return ""
	}
	return fmt.Sprintf("%s ran and its connection ended without an answer %v after it was sent", id, took)
}

// countLost breaks the rule if any request was lost.
func countLost(lost []string) verdict {
	v := verdict{text: "no request was lost"}
	n := 0
	for _, text := range lost {
		if text != "" {
			n++
			v = verdict{broken: true, text: fmt.Sprintf("LOST: %d of %d; the last: %s", n, len(lost), text)}
		}
	}
	return v
}

// stop sends SIGTERM to the present process, SIGKILL once the grace time is over, and starts the instance again after its end, as the
// platform does.
func (i *instance) stop(grace time.Duration) {
	i.mu.Lock()
	process, done := i.process, i.done
	i.mu.Unlock()
	i.site.out.line("%s gets SIGTERM", i.name)
	_ = process.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-done:
		case <-time.After(grace):
			i.site.out.line("%s gets SIGKILL", i.name)
			_ = process.Process.Signal(syscall.SIGKILL)
			<-done
		}
		if err := i.start(); err != nil {
			i.site.out.line("%s does not start again: %v", i.name, err)
		}
	}()
}
