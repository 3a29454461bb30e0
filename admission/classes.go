package admission

import "junctioncross/demand"

// ClassLevel is what is admitted of a class.
type ClassLevel struct {
	Class demand.Class
	// First is the share of the first tries, and Returned that of the returned callers.
	First, Returned float64
	// Ceiling is true while a ceiling bounds the first tries.
	Ceiling bool
}

// AppendClassLevels appends the levels of all classes, in their order, to levels; the account is empty where the controller does
// not tell accounts apart.
func (c *Controller) AppendClassLevels(levels []ClassLevel) []ClassLevel {
	for i := range c.entries {
		e := &c.entries[i]
		levels = append(levels, ClassLevel{Class: e.class, First: e.level, Returned: e.returnedLevel, Ceiling: e.byCeiling})
	}
	return levels
}

// Class returns the class in which the controller counts requests of a class.
func (c *Controller) Class(class demand.Class) demand.Class { return c.settings.class(class) }
