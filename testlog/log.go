package testlog

import (
	"io"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to the test's output for as long as the test runs; later lines are dropped, which the output itself
// answers with a panic.
func New(t *testing.T) *logrus.Logger {
	w := &writer{out: t.Output()}
	t.Cleanup(w.end)
	log := logrus.New()
	log.SetOutput(w)
	return log
}

// writer passes lines on until it has ended.
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
