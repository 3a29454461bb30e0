package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"junctioncross/demand"
)

const (
	// domainsOfFleet is the number of domains of the fleets whose bytes are computed.
	domainsOfFleet = 3
	// relayBytesPerInstance bounds the bytes a second of load reports and totals at a relay, for each instance of its domain.
	relayBytesPerInstance = 4 << 10
	// maxReportBytes bounds the encoded report on one service, and maxUsualReportBytes one with four classes.
	maxReportBytes      = 2 << 10
	maxUsualReportBytes = 384
)

// usualReport returns a report of a busy instance with so many classes of requests.
func usualReport(classes int) demand.Report {
	r := demand.Report{
		Service: "conversation-large", UnderWay: 11, Waiting: 3, Room: 341.25, Lifetime: 3141592653, ToldToReturn: 17,
		Ends: demand.Ends{0.51, 1.13, 2.71, 4.95, 8.08, 10.4},
	}
	for i := range classes {
		class := demand.Class{Rank: demand.Rank{Account: i / 2, Route: i % 2}}
		r.Classes = append(r.Classes, demand.Rates{Class: class, Offered: 1.3, Refused: 0.3, Returned: 0.7})
	}
	return r
}

// encodedSize returns the length of the CBOR encoding of a value, in bytes.
func encodedSize(t *testing.T, value any) int {
	encoded, err := cbor.Marshal(value)
	require.NoError(t, err)
	return len(encoded)
}

// bookOf returns the book of a relay with the reports of so many instances.
func bookOf(instances int) *demand.Book {
	now := time.Now()
	b := demand.NewBook("east")
	for i := range instances {
		b.AddReports(fmt.Sprint("i-", i), []demand.Report{usualReport(4)}, 0, now)
	}
	for d := 1; d < domainsOfFleet; d++ {
		totals := b.LocalTotals(now)
		totals[0].Domain = fmt.Sprint("domain-", d)
		b.AddTotals(totals, now)
	}
	return b
}

// TestLoadReportsCostFewBytes computes the bytes a second at a relay from the encoded sizes of a poll and its answer, each once
// in a hold time, and of the answers of the other relays.
func TestLoadReportsCostFewBytes(t *testing.T) {
	for _, instances := range []int{87, 295, 985} {
		part := instances / domainsOfFleet
		hold := min(max(reportsHoldTime, time.Duration(part)*holdTimePerPoller), pollHold)
		load := ownLoad{Name: "instance-123", Domain: "east", Reports: []demand.Report{usualReport(4)}, Age: time.Second / 7}
		in := encodedSize(t, load)
		b := bookOf(part)
		out := encodedSize(t, b.All(time.Now()))
		exchange := (domainsOfFleet - 1) * encodedSize(t, totalsReply{Totals: b.LocalTotals(time.Now())})
		atRelay := float64(part)*float64(in+out)/hold.Seconds() + float64(2*exchange)/exchangePeriod.Seconds()
		t.Logf("%d instances: report %d B, totals %d B, exchange %d B, relay %.0f B/s, instance %.0f B/s",
			instances, in, out, exchange, atRelay, float64(in+out)/hold.Seconds())
		require.Less(t, atRelay, float64(part*relayBytesPerInstance))
		require.Less(t, in, maxUsualReportBytes)
	}
	require.Less(t, encodedSize(t, usualReport(demand.MaxReportClasses)), maxReportBytes)
}

// TestOldAndNewBuildsUnderstandEachOther encodes a poll and its answer as builds without load reports do, and with them.
func TestOldAndNewBuildsUnderstandEachOther(t *testing.T) {
	type oldPoll struct {
		Mark time.Duration `cbor:"5,keyasint,omitempty"`
		Name string        `cbor:"9,keyasint,omitempty"`
	}
	type oldReply struct {
		Mark time.Duration `cbor:"6,keyasint,omitempty"`
	}
	encoded, err := cbor.Marshal(poll{Mark: 7, Name: "a", Load: &ownLoad{Name: "a", Reports: []demand.Report{usualReport(4)}}})
	require.NoError(t, err)
	var old oldPoll
	require.NoError(t, cbor.Unmarshal(encoded, &old))
	require.Equal(t, oldPoll{Mark: 7, Name: "a"}, old)
	encoded, err = cbor.Marshal(old)
	require.NoError(t, err)
	var p poll
	require.NoError(t, cbor.Unmarshal(encoded, &p))
	require.Equal(t, poll{Mark: 7, Name: "a"}, p)
	encoded, err = cbor.Marshal(pollReply{Mark: 7, Totals: bookOf(3).All(time.Now())})
	require.NoError(t, err)
	var oldR oldReply
	require.NoError(t, cbor.Unmarshal(encoded, &oldR))
	require.Equal(t, oldReply{Mark: 7}, oldR)
	encoded, err = cbor.Marshal(oldR)
	require.NoError(t, err)
	var r pollReply
	require.NoError(t, cbor.Unmarshal(encoded, &r))
	require.Equal(t, pollReply{Mark: 7}, r)
	var fields map[int]any
	encoded, err = cbor.Marshal(poll{Mark: 7, Name: "a"})
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(encoded, &fields))
	require.NotContains(t, fields, 11, "without load reports nothing is sent")
}
