package follow

import (
	"time"

	"junctioncross/backend"
)

const (
	// maxFindingAge is how old a finding may be to count: longer than its way through the relays of two domains.
	maxFindingAge = time.Second
	// evidenceTime is the greatest time between two findings of different sources about one server that support each other, and
	// between those by which a source counts as cut off.
	evidenceTime = 2 * time.Second
	// repeatTime is how long after a finding that nobody supported its source may not take the same server out of use again.
	repeatTime = 5 * time.Second
	// ownFindingPeriod is the least time between two findings of one kind about one server that this instance makes. Findings of
	// another instance that are closer together are the same one, which came by different ways.
	ownFindingPeriod = 250 * time.Millisecond
	// findingsOfOneShare is the maximum share of a service's servers that the unsupported findings of one source keep out of use,
	// and findingsShare that of all unsupported findings together; each allows at least one server.
	findingsOfOneShare = 1.0 / 8
	findingsShare      = 1.0 / 4
	// cutOffServers is the number of servers of other domains that cannot be reached by an instance which is probably cut off
	// itself.
	cutOffServers = 3
	// maxFindings bounds the findings of one message, maxFindingsHeld those that are kept, and maxFindingsOfOne those that are
	// kept of one source, so that a source that floods the book leaves room for others.
	maxFindings      = 64
	maxFindingsHeld  = 1024
	maxFindingsOfOne = 128
	// maxNameLength bounds each name in a finding, in bytes.
	maxNameLength = 128
)

// keptFinding is a finding with the moment at which it was made and the one at which this instance learned of it.
type keptFinding struct {
	backend.Finding
	server    *backend.Server
	at        time.Time
	learnedAt time.Time
	// own is true if this instance made the finding.
	own bool
	// until is when its effect ends; it is zero if it never had one.
	until time.Time
	// supported is true if another source, or this instance, had found a fault of the same server.
	supported bool
}

// acrossDomains reports whether the finding says that an instance could not reach a server of another domain.
func (k *keptFinding) acrossDomains() bool {
	return k.Kind.Unreachable() && k.server.Domain() != k.Domain
}

// hasSameSource reports whether two findings count as those of one source: they come from one instance, or both say that instances
// of one domain could not reach servers of other domains, which the loss of one link explains.
func (k *keptFinding) hasSameSource(other *keptFinding) bool {
	if k.Source == other.Source {
		return true
	}
	return k.Domain == other.Domain && k.acrossDomains() && other.acrossDomains()
}

// findingBook keeps the findings about servers and decides on their effect. It is not safe for concurrent use.
type findingBook struct {
	kept []*keptFinding
}

// addOwn keeps a finding of this instance, and reports whether it is to be passed on.
func (b *findingBook) addOwn(k *keptFinding) bool {
	b.forget(k.at)
	for _, other := range b.kept {
		if other.own && other.server == k.server && other.Kind == k.Kind && k.at.Sub(other.at) < ownFindingPeriod {
			return false
		}
	}
	return b.keep(k)
}

// add keeps a valid finding of another instance and decides on its effect; servers is the number of servers of its service.
func (b *findingBook) add(k *keptFinding, servers int, now time.Time) FindingOutcome {
	b.forget(now)
	if b.knows(k) {
		return ignoredKnown
	}
	if !b.keep(k) {
		return ignoredLimit
	}
	if b.cutOff(k) {
		b.dropUnreachable(k.Domain, now)
		return ignoredCutOff
	}
	until := k.at.Add(k.Kind.HoldTime())
	if !now.Before(until) || k.Kind.Unreachable() && k.server.AnsweredSince(k.at) {
		return ignoredAnswered
	}
	k.supported = b.supports(k)
	if !k.supported {
		if o := b.limit(k, servers, now); o != findingValid {
			return o
		}
	}
	k.until = until
	k.server.HoldByFinding(k.Kind, k.at, until)
	return FindingApplied
}

// knows reports whether the finding has already come by another way. The times of both may differ, since the time of a finding is
// computed from its age at receipt.
func (b *findingBook) knows(k *keptFinding) bool {
	for _, other := range b.kept {
		same := other.Source == k.Source && other.server == k.server && other.Kind == k.Kind
		if same && k.at.Sub(other.at).Abs() < ownFindingPeriod {
			return true
		}
	}
	return false
}

// supports reports whether another instance, or this one, has lately found a fault of the same server.
func (b *findingBook) supports(k *keptFinding) bool {
	for _, other := range b.kept {
		independent := other.own || !k.hasSameSource(other)
		if other.server == k.server && independent && k.at.Sub(other.at).Abs() <= evidenceTime {
			return true
		}
	}
	return false
}

// limit returns why a finding that nobody supports has no effect, or findingValid.
func (b *findingBook) limit(k *keptFinding, servers int, now time.Time) FindingOutcome {
	ofOne, all := map[*backend.Server]bool{}, map[*backend.Server]bool{}
	for _, other := range b.kept {
		if other == k || other.supported || other.until.IsZero() {
			continue
		}
		if k.hasSameSource(other) && other.server == k.server {
			return ignoredRepeated
		}
		if now.Before(other.until) && other.server.Service() == k.server.Service() {
			all[other.server] = true
			if k.hasSameSource(other) {
				ofOne[other.server] = true
			}
		}
	}
	if len(ofOne) >= allowed(servers, findingsOfOneShare) || len(all) >= allowed(servers, findingsShare) {
		return ignoredLimit
	}
	return findingValid
}

// allowed returns the number of servers that a share of a service's servers allows: at least one.
func allowed(servers int, share float64) int { return max(int(float64(servers)*share), 1) }

// cutOff reports whether the domain of a finding's source, or the source alone, is probably cut off from other domains: several
// servers there could not be reached.
func (b *findingBook) cutOff(k *keptFinding) bool {
	if !k.acrossDomains() {
		return false
	}
	lost := map[*backend.Server]bool{}
	for _, other := range b.kept {
		if other.acrossDomains() && k.hasSameSource(other) && k.at.Sub(other.at).Abs() <= evidenceTime {
			lost[other.server] = true
		}
	}
	return len(lost) >= cutOffServers
}

// dropUnreachable ends the effect of the findings by which instances of a domain could not reach servers of other domains.
func (b *findingBook) dropUnreachable(domain string, now time.Time) {
	for _, k := range b.kept {
		if k.Domain == domain && k.acrossDomains() && now.Before(k.until) {
			k.server.DropFinding(k.at)
		}
	}
}

// takenBack returns the findings whose effect has ended early since the last call.
func (b *findingBook) takenBack(now time.Time) []*keptFinding {
	var out []*keptFinding
	for _, k := range b.kept {
		if now.Before(k.until) && !k.server.HeldByFinding(k.at, now) {
			k.until = now
			if !b.replaced(k, now) {
				out = append(out, k)
			}
		}
	}
	return out
}

// replaced reports whether another finding about the server is in force.
func (b *findingBook) replaced(k *keptFinding, now time.Time) bool {
	for _, other := range b.kept {
		if other != k && other.server == k.server && now.Before(other.until) && other.server.HeldByFinding(other.at, now) {
			return true
		}
	}
	return false
}

// inForce returns the findings that keep new work away from servers.
func (b *findingBook) inForce(now time.Time) []*keptFinding {
	var out []*keptFinding
	for _, k := range b.kept {
		if now.Before(k.until) && k.server.HeldByFinding(k.at, now) {
			out = append(out, k)
		}
	}
	return out
}

// since returns the findings that this instance learned of after a moment and that are not too old to be passed on.
func (b *findingBook) since(after, now time.Time, ownOnly bool) []backend.Finding {
	var out []backend.Finding
	for _, k := range b.kept {
		age := now.Sub(k.at)
		if k.learnedAt.After(after) && age <= maxFindingAge && (k.own || !ownOnly) && len(out) < maxFindings {
			f := k.Finding
			f.Age = max(age, 0)
			out = append(out, f)
		}
	}
	return out
}

// keep adds a finding unless there are too many.
func (b *findingBook) keep(k *keptFinding) bool {
	ofSource := 0
	for _, other := range b.kept {
		if k.hasSameSource(other) {
			ofSource++
		}
	}
	if len(b.kept) >= maxFindingsHeld || ofSource >= maxFindingsOfOne {
		return false
	}
	b.kept = append(b.kept, k)
	return true
}

// forget removes the findings that are older than repeatTime, which no rule needs any more.
func (b *findingBook) forget(now time.Time) {
	left := b.kept[:0]
	for _, k := range b.kept {
		if now.Sub(k.at) < repeatTime {
			left = append(left, k)
		}
	}
	clear(b.kept[len(left):])
	b.kept = left
}
