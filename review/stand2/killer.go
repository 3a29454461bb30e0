package main

import (
	"sync/atomic"
	"syscall"
	"time"
)

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// memoryWatch is the part of the platform that kills a process over its memory and starts it again after a short delay.
type memoryWatch struct {
	times atomic.Int64
	// peak is the highest resident memory in kilobytes.
	peak atomic.Int64
}

func newMemoryWatch(s *site, m *machine) *memoryWatch {
	w := &memoryWatch{}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			resident := m.residentMB()
			w.peak.Store(max(w.peak.Load(), int64(resident*1024)))
			if resident > memoryMB {
				s.record.line("%s has %.1f MB resident, over its %d: the platform kills it", m.name, resident, memoryMB)
				w.times.Add(1)
				m.signal(syscall.SIGKILL)
				<-m.ended
				time.Sleep(restartDelay)
				m.start()
			}
		}
	}()
	return w
}

func (w *memoryWatch) peakMB() float64 { return float64(w.peak.Load()) / 1024 }
