package overload

import (
	"time"

	"golang.org/x/sys/unix"
)

// Limits are what the instance may use; 0 means that the limit is not known.
type Limits struct {
	// Cores is the processor time that it gets, in seconds a second.
	Cores float64
	// LinkMegabits is the rate of its network link, in megabits a second, in each direction.
	LinkMegabits float64
	// MemoryMegabytes is the memory that the process may use.
	MemoryMegabytes int
}

const (
	// maxCoresShare, maxLinkShare and maxMemoryShare are the parts of the limits that requests may use; beyond them each one waits for many
	// others. The rest of the memory is for what the runtime does not count: stacks of the system and bytes in sockets.
	maxCoresShare  = 0.8
	maxLinkShare   = 0.8
	maxMemoryShare = 0.85
	// maxWait is how long goroutines may wait for the processor: a few of these waits make an event late.
	maxWait = 20 * time.Millisecond
	// segmentBytes is what a message needs on the link beside its bytes: the headers of a segment and of an acknowledgement.
	segmentBytes = 110
	bitsPerByte  = 8
)

// usage is what the process has used up to a moment: processor time, and bytes that it has sent; and the memory that it holds then.
type usage struct {
	processor time.Duration
	sent      int64
	memory    uint64
}

// pressureOn returns the use of each resource since a former measurement, as a part of what requests may use of it; wait is how long
// goroutines have waited for the processor on average.
func (l Limits) pressureOn(former, now usage, span, wait time.Duration) Pressure {
	p := Pressure{Delay: float64(wait) / float64(maxWait)}
	if span <= 0 {
		return p
	}
	if l.Cores > 0 {
		p.Processor = float64(now.processor-former.processor) / float64(span) / (l.Cores * maxCoresShare)
	}
	if l.LinkMegabits > 0 {
		bits := float64(now.sent-former.sent) * bitsPerByte
		p.Link = bits / span.Seconds() / (l.LinkMegabits * 1e6 * maxLinkShare)
	}
	if l.MemoryMegabytes > 0 {
		p.Memory = float64(now.memory) / (float64(l.MemoryMegabytes) * (1 << 20) * maxMemoryShare)
	}
	return p
}

// Pressure is the use of each resource as a part of what requests may use of it; beyond 1 there is too much work.
type Pressure struct{ Processor, Link, Memory, Delay float64 }

// Most returns the pressure on the scarcest resource.
func (p Pressure) Most() float64 { return max(p.Processor, p.Link, p.Memory, p.Delay) }

// Scarcest returns the name of the scarcest resource.
func (p Pressure) Scarcest() string {
	switch p.Most() {
	case p.Processor:
		return "processor"
	case p.Link:
		return "link"
	case p.Memory:
		return "memory"
	default:
		return "delay"
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var r unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &r); err != nil {
		return 0, err
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}
