package follow

// markPossiblyLeaving keeps new work away from servers that are kept although their entries have vanished around an
// outage of the store, as long as these are few of their service's servers: it is not known whether they are leaving.
func (l *Loop) markPossiblyLeaving() {
	all, missing := map[string]int{}, map[string]int{}
	for _, tracked := range l.servers {
		all[tracked.server.Service()]++
		if !tracked.missingSince.IsZero() {
			missing[tracked.server.Service()]++
		}
	}
	for _, tracked := range l.servers {
		service := tracked.server.Service()
		n := missing[service]
		few := n < all[service] && float64(n) <= max(1, maxLeavingShare*float64(all[service]))
		possiblyLeaving := few && !tracked.missingSince.IsZero()
		tracked.server.SetPossiblyLeaving(possiblyLeaving)
		switch {
		case possiblyLeaving:
			tracked.server.NoteLeaving(tracked.missingSince)
		case !tracked.server.Leaving():
			tracked.server.ForgetLeaving()
		}
	}
}
