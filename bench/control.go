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
	// domainBackends is the number of backend servers of one domain at the design size: 600 replicas of four stages over
	// seven domains.
	domainBackends = 343
	clockTick      = 10 * time.Millisecond
)

// controlSizes are the numbers of instances of one domain; at the design size there are 59.
var controlSizes = []int{8, 32, 64, 128}

// Control measures what control costs each instance of one failure domain without requests, with as many backend servers
// as a domain has at the design size.
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

type controlSample struct {
	at      time.Time
	cpu     time.Duration
	rss     float64
	bytes   int64
	kvCalls int64
}

// sampleControl adds up what the instances have used so far; rss is in megabytes.
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

func cpuOf(pid int) (time.Duration, error) {
	body, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "bench: processor time")
	}
	// The fields behind the program's name, which ends with the last bracket, begin with the third.
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

// loopbackBytes returns the bytes sent and received over loopback, headers included: what two instances exchange counts
// for both, and so does what an instance exchanges with a stand-in.
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
