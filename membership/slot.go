package membership

const (
	// relayCandidates is the least number of instances of a domain that have records: its relay and those that can take over
	// from it.
	relayCandidates = 8
	// minSlots is the least number of slots of a domain.
	minSlots = 24
)

// Slot is a place for one registration record. Each domain has few slots, so that the list that every instance reads grows
// with the number of domains and not with the number of instances.
type Slot struct {
	Number int
	// Revision is the revision of the record that stands in the slot and will be replaced; 0 if the slot is free.
	Revision int64
}

// Record is the registration record of one instance.
type Record struct {
	Instance
	Slot
	// Lease is the store's lease that the record is bound to.
	Lease int64
}

// chooseSlot returns the slot that an instance should write its record to, and false if it needs none. In a fleet with fewer
// records than relayThreshold every instance has a record; in a larger fleet an instance needs one if it is strong enough to
// be among the relay candidates of its domain. IntN returns a random number in [0, n).
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

// recordsByDomain returns the number of records of each domain.
func recordsByDomain(records []Record) map[string]int {
	out := map[string]int{}
	for _, r := range records {
		out[r.Domain]++
	}
	return out
}
