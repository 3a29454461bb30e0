package forward

import (
	"cmp"

	"junctioncross/catalog"
)

// urgency ranks requests that compete for the same room; 0 is the most urgent.
type urgency struct{ account, route int }

// urgencyOf returns the rank of a request, first by the priority of its client account, then by that of its route. A request
// without an account, on a public route, is ranked by its route alone.
func urgencyOf(account *catalog.Account, route *catalog.Route) urgency {
	if account == nil {
		return urgency{account: route.Priority, route: route.Priority}
	}
	return urgency{account: account.Priority, route: route.Priority}
}

// compare returns a negative number if u is more urgent than other.
func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.account, other.account), cmp.Compare(u.route, other.route))
}
