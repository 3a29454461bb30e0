package backend

const (
	// maxPace, maxMemory and maxWaiting bound what a server can say of its load: all are far beyond what engines do, and what is computed
	// from them stays finite.
	maxPace    = 1e6
	maxMemory  = 1e15
	maxWaiting = 1e6
	// minMemory is the least total memory; 0 means that it is not known.
	minMemory = 1
)

// FieldFault is a field of a record whose value can't be true, so that the record is not used.
type FieldFault struct {
	// Name and Value are those of the field; the Name is empty if there is no fault.
	Name  string
	Value float64
}

// loadFault returns the field of a server's load that can't be true, if there is one. NaN is within no bounds.
func loadFault(pace, used, total float64, waiting int) FieldFault {
	switch {
	case !within(pace, 0, maxPace):
		return FieldFault{Name: "pace", Value: pace}
	case !within(used, 0, maxMemory):
		return FieldFault{Name: "used", Value: used}
	case total != 0 && !within(total, minMemory, maxMemory):
		return FieldFault{Name: "total", Value: total}
	case !within(float64(waiting), 0, maxWaiting):
		return FieldFault{Name: "waiting", Value: float64(waiting)}
	default:
		return FieldFault{}
	}
}

// within reports whether a number is not less than one bound and not more than the other.
func within(n, least, most float64) bool { return n >= least && n <= most }

// LoadFault returns the field of the load in the report that can't be true, if there is one.
func (r *Report) LoadFault() FieldFault { return loadFault(r.Pace, r.Used, r.Total, r.Waiting) }

// Fault returns the field of the report that can't be true, if there is one: of the load, or an age by which it is from the future.
func (r *SharedReport) Fault() FieldFault {
	if r.Age < -minNewer {
		return FieldFault{Name: "age", Value: r.Age.Seconds()}
	}
	return loadFault(r.Pace, r.Used, r.Total, r.Waiting)
}
