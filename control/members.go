package control

import (
	"github.com/fxamacker/cbor/v2"

	"junctioncross/gossip"
	"junctioncross/member"
)

const (
	// relays is the number of instances of a domain that watch the key-value service.
	relays       = 2
	subjectRelay = "relay"
	subjectLead  = "lead"
)

func encode(value any) []byte {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil
	}
	return body
}

func decode[T any](body []byte) (T, bool) {
	var value T
	if len(body) == 0 {
		return value, false
	}
	err := cbor.Unmarshal(body, &value)
	return value, err == nil
}

// status returns what an origin says about itself.
func status(o gossip.Origin) (InstanceStatus, bool) {
	body, _ := o.Entry(entryStatus)
	return decode[InstanceStatus](body)
}

// live returns the names of the instances that can be counted on, this one included unless it leaves.
func (l *Loop) live() []string {
	var names []string
	for _, o := range l.table.Origins(l.deps.Clock.Now()) {
		s, ok := status(o)
		if o.Name == l.self.Name {
			s, ok = InstanceStatus{Leaving: l.leaves}, true
		}
		if ok && !s.Leaving && o.Silent < silentLimit {
			names = append(names, o.Name)
		}
	}
	return names
}

// refreshMembers derives this instance's roles from the live members.
func (l *Loop) refreshMembers() {
	names := l.live()
	at := member.Position(names, subjectRelay, l.self.Name)
	l.relay.Store(at >= 0 && at < relays)
	l.chosen.Store(member.Position(names, subjectLead, l.self.Name) == 0)
	l.alone.Store(len(names) <= 1)
	l.deps.Stats.Gauge("members_live").Update(int64(len(names)))
}

// stateStatus states what is true of this instance.
func (l *Loop) stateStatus() {
	s := InstanceStatus{
		Name: l.self.Name, Domain: l.self.Domain, Addr: l.self.PeerAddr,
		Revision: l.deps.Keeper.Revision(), Leaving: l.leaves, Heard: l.heard, Demand: l.demand(),
		Leads: l.leads.Load(),
	}
	l.table.Set(entryStatus, encode(s))
}

func (l *Loop) demand() map[string]int {
	out := map[string]int{}
	l.deps.Gates.Each(func(model string, g gate) {
		if d := g.Demand(); d > 0 {
			out[model] = d
		}
	})
	return out
}

// statuses lists the instances of the domain.
func (l *Loop) statuses() []InstanceStatus {
	l.stateStatus()
	var out []InstanceStatus
	for _, o := range l.table.Origins(l.deps.Clock.Now()) {
		if s, ok := status(o); ok {
			s.SilentMS = o.Silent.Milliseconds()
			out = append(out, s)
		}
	}
	return out
}
