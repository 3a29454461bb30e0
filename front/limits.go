package front

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"junctioncross/catalog"
)

// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTime and defaultIdleTime apply before the first configuration.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 3 * time.Second
	defaultIdleTime    = 15 * time.Second
)

// currentLimits returns the limits on requests that are in force.
func (s *Server) currentLimits() catalog.Limits {
	limits := s.limits()
	if limits.HeaderBytes == 0 {
		return catalog.Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTime: defaultHeaderTime, IdleTime: defaultIdleTime,
		}
	}
	return limits
}

// applyLimits gives the next request the limits that are in force now; those under which an earlier one was read do not bind it.
func (c *conn) applyLimits() {
	limits := c.server.currentLimits()
	if limits.HeaderBytes != c.limits.HeaderBytes {
		c.resizeReader(limits.HeaderBytes)
	}
	c.limits = limits
}

// resizeReader replaces the reader by one with another size, which also bounds the heads that can be read, and keeps what was read ahead.
func (c *conn) resizeReader(size int) {
	ahead, _ := c.reader.Peek(c.reader.Buffered())
	c.source = io.MultiReader(bytes.NewReader(bytes.Clone(ahead)), c.source)
	c.reader = bufio.NewReaderSize(c.source, size)
}
