package relay

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// heldPeers holds each poll for reportsHoldTime, and counts them.
type heldPeers struct {
	peers
	polls atomic.Int64
}

func (p *heldPeers) poll(ctx context.Context, _ string, _ poll) (pollReply, error) {
	p.polls.Add(1)
	select {
	case <-time.After(reportsHoldTime):
		return pollReply{}, nil
	case <-ctx.Done():
		return pollReply{}, link.ErrRefused
	}
}

// urgentReports is a SharedReports without reports that says when findings are made.
type urgentReports struct{ urgent chan struct{} }

// UrgentFindings implements findingSource.
func (r urgentReports) UrgentFindings() <-chan struct{} { return r.urgent }

// OwnReports implements SharedReports.
func (urgentReports) OwnReports(_, _ time.Time) []backend.SharedReport { return nil }

// Reports implements SharedReports.
func (urgentReports) Reports(_, _ time.Time) []backend.SharedReport { return nil }

// ApplySharedReports implements SharedReports.
func (urgentReports) ApplySharedReports([]backend.SharedReport, time.Time) bool { return false }

// pollsDuring returns the number of polls of an instance during some time, in a fleet of so many instances; it makes a finding
// at the beginning, and then once in every period unless that is 0.
func pollsDuring(length, every time.Duration, instancesOfFleet int) int64 {
	urgent := make(chan struct{}, 1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	all := instances(1, instancesOfFleet)
	self := Self{Name: "self", Domain: "east", RelaysFrom: 2, ApplyTime: applyDeadline}
	s := New(self, nil, staticFleet(all), urgentReports{urgent}, noEnds{}, demand.NewBook("east"), nil, timer.NewReal(), metrics.New(), log)
	p := &heldPeers{}
	s.peers = p
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	urgent <- struct{}{}
	if every > 0 {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(every)
				select {
				case urgent <- struct{}{}:
				default:
				}
			}
		}()
	}
	for ctx.Err() == nil {
		_, _ = s.pollForUpdates(ctx, "relay", poll{Feed: follow.FeedServers})
	}
	time.Sleep(every)
	return p.polls.Load()
}

// TestAFindingBeforeAPollDoesNotEndIt has an instance make a finding before its poll, which carries it.
func TestAFindingBeforeAPollDoesNotEndIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		require.EqualValues(t, 1, pollsDuring(reportsHoldTime/2, 0, 30))
	})
}

// TestAFloodOfFindingsEndsFewPolls has an instance make a finding every 10 ms for 10 s.
func TestAFloodOfFindingsEndsFewPolls(t *testing.T) {
	const length = 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		polls := pollsDuring(length, 10*time.Millisecond, 30)
		require.Greater(t, polls, int64(length/reportsHoldTime)+1, "some end early")
		require.LessOrEqual(t, polls, int64(length/earlyPollPeriod)+1)
	})
	synctest.Test(t, func(t *testing.T) {
		polls := pollsDuring(length, 10*time.Millisecond, 1000)
		require.LessOrEqual(t, polls, int64(length/reportsHoldTime)+int64(length/(1000*earlyTimePerInstance))+1)
	})
}
