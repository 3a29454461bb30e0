package control

import (
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"junctioncross/member"
)

const (
	// relayCount is the number of instances of a domain that watch the key-value service for the others.
	relayCount   = 2
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

// members is what this instance knows about the instances of its domain; it is replaced as a whole at each refresh.
type members struct {
	// live holds the names of the instances that have been heard from within silentLimit and are not leaving, this one included.
	live []string
	// statuses holds the status that each instance publishes about itself, by name.
	statuses map[string]InstanceStatus
	// neighbours holds the names of the instances to exchange updates with.
	neighbours []string
}

// refreshMembers derives the live instances from the table and, if they have changed, this instance's roles among them.
func (l *Loop) refreshMembers() {
	m := members{statuses: map[string]InstanceStatus{}}
	for _, o := range l.table.Origins(l.deps.Clock.Now()) {
		s, ok := l.statusCache.get(o, entryStatus)
		if o.Name == l.self.Name {
			s.Leaving, ok = l.leaving, true
		}
		if !ok {
			continue
		}
		s.SilentMS = o.SinceUpdate.Milliseconds()
		m.statuses[o.Name] = s
		if !s.Leaving && o.SinceUpdate < silentLimit {
			m.live = append(m.live, o.Name)
		}
	}
	same := slices.Equal(m.live, l.members.live)
	m.neighbours = l.members.neighbours
	l.members = m
	l.publishDirectory()
	if !same || m.neighbours == nil {
		l.assignRoles()
	}
}

// assignRoles derives the roles of this instance from the live instances: relay, leader candidate, neighbours and the servers to
// poll.
func (l *Loop) assignRoles() {
	names := l.members.live
	at := member.Position(names, subjectRelay, l.self.Name)
	l.relay.Store(at >= 0 && at < relayCount)
	l.chosen.Store(member.Position(names, subjectLead, l.self.Name) == 0)
	l.alone.Store(len(names) <= 1)
	l.members.neighbours = member.Neighbours(names, l.self.Name)
	l.deps.Stats.Gauge("members_live").Update(int64(len(names)))
	l.assignPolls()
}

// publishStatus publishes this instance's status.
func (l *Loop) publishStatus() {
	s := InstanceStatus{
		Name: l.self.Name, Domain: l.self.Domain, Addr: l.self.PeerAddr,
		Revision: l.deps.Keeper.Revision(), Leaving: l.leaving, KVAnswers: l.kvAnswers, Demand: l.demand,
		Leads: l.leads.Load(),
	}
	l.table.Set(entryStatus, encode(s))
}

// publishDemand measures and publishes the demand at this instance; all instances derive their admission limits from it.
func (l *Loop) publishDemand() {
	l.demand = map[string]float64{}
	l.deps.Gates.Each(func(model string, g gate) {
		if d := math.Round(g.OfferedLoad()); d > 0 {
			l.demand[model] = d
		}
	})
	l.publishStatus()
}

// statuses returns the current status of each known instance of the domain.
func (l *Loop) statuses() []InstanceStatus {
	l.publishStatus()
	l.refreshMembers()
	out := make([]InstanceStatus, 0, len(l.members.statuses))
	for _, s := range l.members.statuses {
		out = append(out, s)
	}
	return out
}
