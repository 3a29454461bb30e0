package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	streamClients = 80
	streamEvent   = 20 * time.Millisecond
	wholeStream   = 60
	// patience is how long a client waits for the next event before it gives a stream up.
	patience = 2 * time.Second
	// retries is how often a client of a stream tries again, by the site's sheet.
	retries = 1
)

// resumeCase has clients read streams of a resumable route that a configuration splits between a service of model replicas and one without
// an engine. The machine is killed in mid-stream; the clients go on at another one with Last-Event-Id. ORDER is broken if a client gets a piece
// twice, or misses one in a stream that ends as complete.
func resumeCase(s *site, trouble bool) bool {
	newEngine(s, "i-7f3a91c2", wholeStream, streamEvent)
	newEngine(s, "i-02d9e6b4", wholeStream, streamEvent)
	newDesk(s, "i-55c0de11", nil)
	split := route("r-2yhvz3p", "/lohu930/", "streaming", "", 20*time.Second)
	delete(split, "service")
	split["weighted_services"] = []any{
		map[string]any{"service": writerName, "weight": 90}, map[string]any{"service": deskName, "weight": 10},
	}
	s.configure([]any{split}, []any{writer(), desk()}, nil)
	first, second := s.addMachine("edge-ub-hall-a-1"), s.addMachine("edge-ub-hall-a-2")
	first.awaitReady(30 * time.Second)
	second.awaitReady(30 * time.Second)
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	var whole, resumed, twice, missing, unfinished atomic.Int64
	for n := range streamClients {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			c := &streamClient{site: s, last: -1}
			complete := c.read(first.callers, fmt.Sprintf("a%015x", n))
			for k := 0; !complete && k < retries; k++ {
				time.Sleep(100 * time.Millisecond)
				resumed.Add(1)
				complete = c.read(second.callers, fmt.Sprintf("b%03x%012x", k, n))
			}
			twice.Add(int64(c.twice))
			missing.Add(int64(c.missing))
			if complete {
				whole.Add(1)
			} else {
				unfinished.Add(1)
			}
		}()
	}
	if trouble {
		time.Sleep(800 * time.Millisecond)
		first.signal(syscall.SIGKILL)
		<-first.ended
		time.Sleep(500 * time.Millisecond)
		first.start()
	}
	all.Wait()
	s.record.line("%d streams whole, %d not; %d attempts to go on; pieces that came twice: %d, that are missing: %d", whole.Load(), unfinished.Load(),
		resumed.Load(), twice.Load(), missing.Load())
	if whole.Load() < streamClients/2 {
		first.dumpLog()
		second.dumpLog()
		fail("too few streams were served")
	}
	return twice.Load() > 0 || missing.Load() > 0
}

// streamClient is a client that reads one stream, in several attempts if it must.
type streamClient struct {
	site *site
	// last is the id of the last whole event; -1 before the first.
	last           int
	twice, missing int
}

// read makes one attempt and reports whether the stream was ended as complete.
func (c *streamClient) read(addr, id string) bool {
	conn, err := dial(c.site, addr)
	if err != nil {
		return false
	}
	defer conn.conn.Close()
	resume := ""
	if c.last >= 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\n", c.last)
	}
	c.site.record.line("client sends %s to %s, last event %d", id, addr, c.last)
	_, err = fmt.Fprintf(conn.conn, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%sX-Model-Name: daka510000\r\n"+
		"X-Token-Usage: 60,120\r\nX-Prompt-Prefix: 5c1e07a2:40,%s:20\r\nX-Deadline-Ms: 20000\r\nX-Credential: %s\r\nContent-Length: 4\r\n\r\nbody",
		host, id, resume, id[8:], key)
	if err != nil {
		return false
	}
	_ = conn.conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.site.record.line("client of %s: %v", id, err)
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("X-Server-Seal") == "" {
		c.site.record.line("client of %s: status %d", id, resp.StatusCode)
		return false
	}
	lines := bufio.NewReader(resp.Body)
	begin := c.last
	for {
		_ = conn.conn.SetReadDeadline(time.Now().Add(patience))
		line, err := lines.ReadString('\n')
		if err != nil {
			c.site.record.line("client of %s: from event %d to %d, end: %v", id, begin, c.last, err)
			return errors.Is(err, io.EOF)
		}
		text, ok := strings.CutPrefix(line, "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil {
			return false
		}
		switch {
		case n <= c.last:
			if c.twice++; n == 0 {
				c.site.record.line("ORDER: client of %s, which had event %d, gets event %d again", id, c.last, n)
			}
		case n > c.last+1:
			c.missing++
			c.site.record.line("ORDER: client of %s, which had event %d, gets event %d", id, c.last, n)
			c.last = n
		default:
			c.last = n
		}
	}
}
