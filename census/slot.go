package census

const (
	// relayCandidates is the number of instances of a domain that have records in any case: its relay and those that can take over.
	relayCandidates = 8
	// minSlots is the least number of slots of a domain.
	minSlots = 24
)

// Slot is where a record can be written: one of the few that a domain has, so that the directory that every instance reads grows with the
// domains and not with the instances.
type Slot struct {
	Number int
	// Revision is that of the record which is there and is replaced; 0 says that there is none.
	Revision int64
}

// Record is what an instance has written of itself.
type Record struct {
	Instance
	Slot
	// Lease is what the record hangs on.
	Lease int64
}

// chooseSlot returns the slot that an instance should write its record to, if it should. A fleet of fewer records than whole is known whole; in
// a larger one those of each domain have records that are strong enough to be among its candidates. IntN returns a number from 0 to n - 1.
func chooseSlot(records []Record, self Instance, relayThreshold int, intN func(int) int) (Slot, bool) {
	taken := map[int]bool{}
	var weakest *Record
	atLeastAsStrong := 0
	for i := range records {
		r := &records[i]
		if r.Domain != self.Domain {
			continue
		}
		if r.Name == self.Name {
			return r.Slot, true
		}
		taken[r.Number] = true
		if r.Power >= self.Power {
			atLeastAsStrong++
		}
		if weakest == nil || r.Power < weakest.Power {
			weakest = r
		}
	}
	if atLeastAsStrong >= relayCandidates && len(records) >= relayThreshold {
		return Slot{}, false
	}
	var free []int
	for n := range max(relayThreshold, minSlots) {
		if !taken[n] {
			free = append(free, n)
		}
	}
	switch {
	case len(free) > 0:
		return Slot{Number: free[intN(len(free))]}, true
	case weakest.Power < self.Power:
		return weakest.Slot, true
	default:
		return Slot{}, false
	}
}

func recordsByDomain(records []Record) map[string]int {
	out := map[string]int{}
	for _, r := range records {
		out[r.Domain]++
	}
	return out
}
