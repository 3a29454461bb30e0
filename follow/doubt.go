package follow

// markPossiblyLeaving keeps new work from servers whose entries have vanished while it is not known whether they leave, as long as these are
// few of their service.
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
		doubted := few && !k.missingSince.IsZero()
		k.server.Doubt(doubted)
		switch {
		case doubted:
			k.server.NoteLeaving(k.missingSince)
		case !k.server.Leaving():
			k.server.ForgetLeaving()
		}
	}
}
