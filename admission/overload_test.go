package admission_test

import (
	"fmt"
	"testing"
	"time"

	"junctioncross/admission"
	"junctioncross/demand"
)

const eagerAccount = "eager"

const (
	start = 10 * time.Second
	end   = 30 * time.Second
	whole = 40 * time.Second
)

var mix = []float64{0.3, 0.4, 0.3}

func ramp(room, factor float64, burst bool) traffic {
	return func(at time.Duration) map[demand.Class]float64 {
		out := map[demand.Class]float64{}
		for rank, part := range mix {
			rate := 0.8 * part
			if at >= start && at < end {
				switch {
				case !burst:
					rate = factor * part
				case rank == 0:
					rate += factor - 0.8
				}
			}
			out[demand.Class{Rank: demand.Rank{Account: rank, Route: rank}}] = rate * room / meanLife.Seconds()
		}
		return out
	}
}

func TestProbe(t *testing.T) {
	for _, size := range []struct {
		n    int
		room float64
	}{{8, 300}, {87, 1200}, {985, 4000}} {
		for _, f := range []float64{1.1, 1.3, 2} {
			for _, burst := range []bool{false, true} {
				for _, parts := range []int{1, 2} {
					var works [2]int
					for k, s := range []*admission.Settings{nil, {Ranks: true}} {
						l := newLoad(1, size.n, size.room, s, parts, 0.2, ramp(size.room, f, burst))
						l.play(whole)
						in := count(l, start, end, func(c demand.Class) int { return c.Rank.Route })
						after := count(l, end+3*time.Second, whole-time.Second, func(c demand.Class) int { return c.Rank.Route })
						works[k] = l.work(start, end)
						fmt.Printf("%d %v burst=%v parts=%d on=%v:", size.n, f, burst, parts, s != nil)
						for r := range 3 {
							fmt.Printf(" [in %.3f srv %.3f after %.3f turns %d]", in[r].inTime/in[r].callers, in[r].served/in[r].callers, after[r].inTime/after[r].callers, l.turns(r))
						}
						fmt.Println(" work", works[k])
					}
				}
			}
		}
	}
}
