package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller is a client with one connection, which it keeps over its requests.
type caller struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// request is what a caller sends.
type request struct {
	id, method, path string
	// headers are lines without their ends, in addition to those that every request has.
	headers []string
	body    string
}

// answer is what a caller got.
type answer struct {
	status int
	sealed bool
	// length is the length that the answer's head says, -1 if it says none.
	length int64
	body   string
	// err is set if no whole answer came.
	err error
}

// bytes returns the request as it is sent.
func (r *request) bytes() string {
	lines := append([]string{
		r.method + " " + r.path + " HTTP/1.1", "Host: " + host, "X-Request-Id: " + r.id, fmt.Sprintf("X-Deadline-Ms: %d", deadlineMS),
		"X-Credential: " + key,
	}, r.headers...)
	if r.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + r.body
}

// connect opens a connection if there is none.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// do sends a request and reads its answer; a connection that failed, or that the answer closes, is not kept.
func (c *caller) do(r *request) answer {
	if err := c.connect(); err != nil {
		return answer{err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadlineMS * time.Millisecond))
	if _, err := io.WriteString(c.conn, r.bytes()); err != nil {
		c.close()
		return answer{err: err}
	}
	return c.read(r)
}

// read reads the answer to a request.
func (c *caller) read(r *request) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.Close {
		c.close()
	}
	if got := resp.Header.Get("X-Request-Id"); err == nil && got != "" && got != r.id {
		err = errors.New("the answer belongs to " + got)
	}
	return answer{
		status: resp.StatusCode, sealed: resp.Header.Get("X-Server-Seal") != "", length: resp.ContentLength, body: string(body), err: err,
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// listenLoopback listens on a free port of the loopback address.
func listenLoopback() (net.Listener, error) { return net.Listen("tcp4", "127.0.0.1:0") }

// drain reads the body of a request to its end.
func drain(r *http.Request) error {
	_, err := io.Copy(io.Discard, r.Body)
	return err
}
