package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is a client with one kept connection.
type client struct {
	site   *site
	conn   net.Conn
	reader *bufio.Reader
	// answered counts the whole answers that have come on the connection.
	answered int
}

func dial(s *site, addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{site: s, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is one client attempt.
type request struct {
	id, method, path string
	deadline         time.Duration
	body             string
}

func (r request) bytes() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.path, host, r.id, r.deadline.Milliseconds(), key, len(r.body), r.body)
}

// answer is what came back; err is why no whole answer came.
type answer struct {
	status int
	sealed bool
	closes bool
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no whole answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, sealed %v, %q", a.status, a.sealed, strings.TrimSpace(a.body))
}

// do sends a request and reads its answer until the deadline of the client.
func (c *client) do(r request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	c.site.record.line("client sends %s %s %s, body of %d bytes", r.id, r.method, r.path, len(r.body))
	if _, err := io.WriteString(c.conn, r.bytes()); err != nil {
		return answer{err: err}
	}
	return c.read(r)
}

func (c *client) read(r request) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		c.answered++
	}
	return answer{status: resp.StatusCode, sealed: resp.Header.Get("X-Server-Seal") != "", closes: resp.Close, body: string(body), err: err}
}

// pacedPiece is the size of the pieces in which a paced body is sent.
const pacedPiece = 32 << 10

// doPaced is do, but sends at most so many bytes a second.
func (c *client) doPaced(r request, bytesPerSecond float64) answer {
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	c.site.record.line("client sends %s %s %s, body of %d bytes", r.id, r.method, r.path, len(r.body))
	begun, all := time.Now(), r.bytes()
	for sent := 0; sent < len(all); sent += pacedPiece {
		due := begun.Add(time.Duration(float64(sent) / bytesPerSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
		if _, err := io.WriteString(c.conn, all[sent:min(sent+pacedPiece, len(all))]); err != nil {
			return answer{err: err}
		}
	}
	return c.read(r)
}
