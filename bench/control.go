package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"junctioncross/fleet"
)

const (
	controlSettle = 3 * time.Second
	controlWindow = 4 * time.Second
	// domainBackends is the number of backend servers of one domain at the design size: 600 replicas of four stages in seven
	// domains.
	domainBackends = 343
	// clockTick is the unit of the processor times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
)

// controlSizes are the numbers of instances of the domain that are measured. At the design size a domain has 59.
var controlSizes = []int{8, 32, 64, 128}

// Control measures what the control plane costs each instance of one failure domain: processor time, memory, bytes and calls
// to the key-value service. The domain gets no requests and has as many backend servers as one has at the design size.
func Control(bin string, p *Printer) error {
	var points []controlPoint
	for _, n := range controlSizes {
		point, err := measureControl(bin, n)
		if err != nil {
			return err
		}
		points = append(points, point)
		point.print(p)
	}
	first, last := points[0], points[len(points)-1]
	span := float64(last.instances - first.instances)
	p.Figure("kv_calls_s_slope", (last.kvCalls-first.kvCalls)/span, "calls/s/instance")
	p.Figure("control_rss_mb_slope", (last.rss-first.rss)/span, "MB/instance")
	p.Figure("control_cpu_pct_slope", (last.cpu-first.cpu)/span, "pct/instance")
	p.Figure("control_bytes_s_slope", (last.bytes-first.bytes)/span, "B/s/instance")
	return nil
}

// controlPoint is the measurement at one number of instances. cpu is in percent of a core, rss in megabytes and bytes in
// bytes a second, each per instance; kvCalls is in calls a second of all instances.
type controlPoint struct {
	instances int
	cpu       float64
	rss       float64
	bytes     float64
	kvCalls   float64
}

func (c controlPoint) print(p *Printer) {
	at := fmt.Sprintf("_%d", c.instances)
	p.Figure("control_cpu_pct"+at, c.cpu, "pct")
	p.Figure("control_rss_mb"+at, c.rss, "MB")
	p.Figure("control_bytes_s"+at, c.bytes, "B/s")
	p.Figure("kv_calls_s"+at, c.kvCalls, "calls/s")
}

func measureControl(bin string, instances int) (controlPoint, error) {
	f, err := fleet.Start(controlSpec(1, instances, domainBackends), bin)
	if err != nil {
		return controlPoint{}, err
	}
	defer f.Stop()
	time.Sleep(controlSettle)
	before, err := sampleControl(f)
	if err != nil {
		return controlPoint{}, err
	}
	time.Sleep(controlWindow)
	after, err := sampleControl(f)
	if err != nil {
		return controlPoint{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	count := float64(instances)
	return controlPoint{
		instances: instances,
		cpu:       100 * (after.cpu - before.cpu).Seconds() / seconds / count,
		rss:       after.rss / count,
		bytes:     float64(after.bytes-before.bytes) / seconds / count,
		kvCalls:   float64(after.kvCalls-before.kvCalls) / seconds,
	}, nil
}

// controlSample is the sum over all instances at one time. rss is in megabytes; the other values count from the start of the
// processes.
type controlSample struct {
	at      time.Time
	cpu     time.Duration
	rss     float64
	bytes   int64
	kvCalls int64
}

// sampleControl adds up what the instances have used so far.
func sampleControl(f *fleet.Fleet) (controlSample, error) {
	s := controlSample{at: time.Now()}
	for _, e := range f.Entries() {
		cpu, err := cpuOf(e.Process.ID())
		if err != nil {
			return s, err
		}
		rss, err := rssOf(e.Process.ID())
		if err != nil {
			return s, err
		}
		s.cpu += cpu
		s.rss += rss
	}
	bytes, err := loopbackBytes()
	if err != nil {
		return s, err
	}
	s.bytes = bytes
	s.kvCalls, err = fleet.Get[int64](f.KVAddr(), "/calls")
	return s, err
}

// cpuOf returns the user and system processor time that a process has used.
func cpuOf(pid int) (time.Duration, error) {
	body, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "bench: processor time")
	}
	// The program's name, in parentheses, is the second field. What follows it begins with the third.
	_, rest, _ := strings.Cut(string(body), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	user, err := strconv.Atoi(fields[userField])
	if err != nil {
		return 0, errors.Wrap(err, "bench: processor time")
	}
	system, err := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick, errors.Wrap(err, "bench: processor time")
}

// rssOf returns the resident memory of a process, program text included, in megabytes.
func rssOf(pid int) (float64, error) {
	body, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, errors.Wrap(err, "bench: memory")
	}
	const kilobytes = 1024
	for _, line := range strings.Split(string(body), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / kilobytes, errors.Wrap(err, "bench: memory")
		}
	}
	return 0, errors.New("bench: no memory figure")
}

// loopbackBytes returns the bytes sent and received over loopback, headers included. Each transfer counts twice, once at the
// sender and once at the receiver, also between an instance and the fake key-value service, list or engines.
func loopbackBytes() (int64, error) {
	total := int64(0)
	for _, name := range []string{"rx_bytes", "tx_bytes"} {
		body, err := os.ReadFile("/sys/class/net/lo/statistics/" + name)
		if err != nil {
			return 0, errors.Wrap(err, "bench: bytes")
		}
		n, err := strconv.ParseInt(strings.TrimSpace(string(body)), 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "bench: bytes")
		}
		total += n
	}
	return total, nil
}
