package placement

const (
	// cutCost is subtracted from the value of a change for each server that drops layers: the streams through them have to go on
	// elsewhere.
	cutCost = 10.0
	// wholeCopyValue is the value of a whole copy of the model in a domain, for each server there: without one, all of them serve
	// only paths that cross to other domains.
	wholeCopyValue = 30.0
)

// change is what a change of a running layout brings and costs.
type change struct {
	// gain is by how much the layers' values of another holder fall, with wholeCopyValue for each server of a domain that has a
	// whole copy only afterwards.
	gain float64
	// loaded is the number of layers that are loaded, cut the number of servers that drop layers.
	loaded, cut int
}

// net returns the gain without the costs.
func (c change) net() float64 { return c.gain - loadCost*float64(c.loaded) - cutCost*float64(c.cut) }

// worthwhile reports whether the change should be made: what it gains outweighs what it costs.
func (c change) worthwhile() bool { return c.net() > 0 }
