package admission

// applyPart applies an operator's request and returns what it guarantees, in requests a second.
func (c *Controller) applyPart(p *Part) float64 {
	offered, whole := 0.0, c.capacity.ending
	for i := range c.entries {
		if p.selects(c.entries[i].class) {
			offered += c.entries[i].limit
		}
	}
	if offered <= 0 {
		return 0
	}
	ceiling, guarantee := min(p.Ceiling*whole/offered, 1), min(p.Guarantee*whole/offered, 1)
	for i := range c.entries {
		e := &c.entries[i]
		if !p.selects(e.class) {
			continue
		}
		e.byCeiling = e.byCeiling || ceiling < 1
		e.limit *= ceiling
		e.guaranteed = max(e.guaranteed, min(guarantee*e.offered, e.limit))
	}
	return guarantee * offered
}
