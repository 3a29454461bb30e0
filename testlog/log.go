package testlog

import (
	"io"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to the output of the test while it runs. Later lines are dropped, since writing to that output
// after the end of the test panics.
func New(t testing.TB) *logrus.Logger {
	w := &writer{out: t.Output()}
	t.Cleanup(w.end)
	log := logrus.New()
	log.SetOutput(w)
	return log
}

// writer passes lines on to out until end is called.
type writer struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out == nil {
		return len(line), nil
	}
	return w.out.Write(line)
}

func (w *writer) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out = nil
}
