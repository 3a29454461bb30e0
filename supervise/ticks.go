package supervise

import (
	"context"

	"junctioncross/timer"
)

// OnTicks calls some functions at each tick until ctx ends, and ends the subscription then. One that panics is left out for a pause that grows
// with each panic in a row; the others are not.
func (s *Supervisor) OnTicks(ctx context.Context, part string, ticks *timer.Subscription, runs ...func()) {
	defer ticks.Stop()
	pauses := make([]Pause, len(runs))
	for {
		select {
		case <-ticks.C():
			for i, run := range runs {
				s.callUnlessPaused(part, &pauses[i], run)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Supervisor) callUnlessPaused(part string, pause *Pause, run func()) {
	if now := s.clock.Now(); pause.Over(now) && !s.Call(part, NoWork, run) {
		pause.Begin(now)
	}
}
