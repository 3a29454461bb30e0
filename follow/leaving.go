package follow

// markPossiblyLeaving keeps new work away from servers that are kept although their entries have vanished around an
// outage of the store, as long as these are few of their service's servers: it is not known whether they are leaving.
func (l *Loop) markPossiblyLeaving() {
	all, missing := map[string]int{}, map[string]int{}
	for _, k := range l.servers {
		all[k.server.Service()]++
		if !k.missingSince.IsZero() {
			missing[k.server.Service()]++
		}
	}
	for _, k := range l.servers {
		service := k.server.Service()
		n := missing[service]
		few := n < all[service] && float64(n) <= max(1, maxLeavingShare*float64(all[service]))
		possiblyLeaving := few && !k.missingSince.IsZero()
		k.server.SetPossiblyLeaving(possiblyLeaving)
		switch {
		case possiblyLeaving:
			k.server.NoteLeaving(k.missingSince)
		case !k.server.Leaving():
			k.server.ForgetLeaving()
		}
	}
}
