package control

import (
	"strconv"

	"junctioncross/member"
)

const subjectClaim = "claim/"

// directory holds the live instances of the domain for other goroutines, with their addresses by name.
type directory struct {
	live  []string
	addrs map[string]string
}

// publishDirectory makes the live instances available to other goroutines.
func (l *Loop) publishDirectory() {
	d := &directory{live: l.members.live, addrs: map[string]string{}}
	for _, n := range l.members.live {
		d.addrs[n] = l.members.statuses[n].Addr
	}
	l.directory.Store(d)
}

// Writer implements claim.Writers: the writer of a partition is the live instance that ranks first for it.
func (l *Loop) Writer(partition int) (addr string, local bool) {
	d := l.directory.Load()
	if d == nil || len(d.live) == 0 {
		return "", true
	}
	first := member.Rank(d.live, subjectClaim+strconv.Itoa(partition))[0]
	addr = d.addrs[first]
	return addr, first == l.self.Name || addr == ""
}
