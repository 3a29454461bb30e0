package forward

import (
	"junctioncross/catalog"
	"junctioncross/demand"
)

// rankOf returns the rank of a request, first by the priority of its client account, then by that of its route. A request
// without an account, on a public route, is ranked by its route alone.
func rankOf(account *catalog.Account, route *catalog.Route) demand.Rank {
	if account == nil {
		return demand.Rank{Account: route.Priority, Route: route.Priority}
	}
	return demand.Rank{Account: account.Priority, Route: route.Priority}
}
