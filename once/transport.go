package once

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/httphead"
)

// transport carries a request and its answer over a connection of the HTTP library's pool, as the library's own transport does for bodies that are
// held in memory. The heads of answers are read by package httphead: the library would mend them.
type transport struct{}

// RoundTrip implements fasthttp.RoundTripper. It never asks for a retry.
func (transport) RoundTrip(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	timeout := req.GetTimeOut()
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	conn, err := client.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := exchange(client, conn.Conn(), req, resp, deadline)
	if reusable {
		client.ReleaseConn(conn)
	} else {
		client.CloseConn(conn)
	}
	return false, err
}

// exchange sends a request and reads its answer until the deadline, which is zero if there is none. It reports whether the connection may carry
// another request.
func exchange(
	client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time,
) (reusable bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	if err := writeRequest(client, conn, req); err != nil {
		return false, timeoutOf(err)
	}
	reader := client.AcquireReader(conn)
	defer client.ReleaseReader(reader)
	err = httphead.SkipInterim(&resp.Header, func() error { return httphead.Read(reader, &resp.Header) })
	if err != nil {
		return false, timeoutOf(err)
	}
	if err := readBody(client, reader, req, resp); err != nil {
		return false, err
	}
	switched := resp.StatusCode() == fasthttp.StatusSwitchingProtocols
	// Bytes that follow the answer belong to no request.
	return !switched && !req.ConnectionClose() && !resp.ConnectionClose() && reader.Buffered() == 0, nil
}

func writeRequest(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request) error {
	writer := client.AcquireWriter(conn)
	defer client.ReleaseWriter(writer)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// readBody reads the body of an answer whose head has been read, and its trailers.
func readBody(client *fasthttp.HostClient, reader *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response) error {
	resp.SkipBody = resp.SkipBody || req.Header.IsHead()
	if resp.SkipBody || bodiless(resp.StatusCode()) {
		return nil
	}
	chunked := resp.Header.ContentLength() == httphead.ChunkedLength
	if err := resp.ReadBody(reader, client.MaxResponseBodySize); err != nil || !chunked {
		return err
	}
	return resp.Header.ReadTrailer(reader)
}

// bodiless reports whether answers with a status have no body, whatever their head says.
func bodiless(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// timeoutOf returns the library's error for time-outs, or else err.
func timeoutOf(err error) error {
	var failed net.Error
	if errors.As(err, &failed) && failed.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}
