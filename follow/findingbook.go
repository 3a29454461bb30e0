package follow

import (
	"time"

	"junctioncross/backend"
)

const (
	// maxFindingAge is how old a finding may be to count: longer than its way through the relays of two domains.
	maxFindingAge = time.Second
	// evidenceTime is how long a finding supports those of other instances about the same server.
	evidenceTime = 2 * time.Second
	// repeatTime is how long after a finding that nobody supported its source may not take the same server out of use again.
	repeatTime = 5 * time.Second
	// ownFindingPeriod is the least time between two findings of this instance about one server.
	ownFindingPeriod = 250 * time.Millisecond
	// findingsOfOneShare is the share of a service's servers that the unsupported findings of one instance keep out of use at
	// most, and findingsShare that of all such findings together; each allows at least one server.
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
	// maxNameLength bounds the names in a finding.
	maxNameLength = 128
)

// FindingOutcome says what became of a finding.
type FindingOutcome string

// Outcomes of findings; they are the labels of counters.
const (
	findingValid   FindingOutcome = ""
	FindingSent    FindingOutcome = "sent"
	FindingApplied FindingOutcome = "applied"
	// FindingTakenBack means that the server has shown that the finding is wrong or over.
	FindingTakenBack FindingOutcome = "taken back"

	droppedGarbled     FindingOutcome = "garbled"
	droppedUnknown     FindingOutcome = "unknown server"
	droppedIncarnation FindingOutcome = "other incarnation"
	droppedFuture      FindingOutcome = "from the future"
	droppedOld         FindingOutcome = "too old"
	droppedTooMany     FindingOutcome = "too many"

	// The finding is valid but has no effect: it is known already, its source is probably cut off, repeats itself, or keeps
	// enough servers out of use, or the server has answered since.
	ignoredKnown    FindingOutcome = "known"
	ignoredCutOff   FindingOutcome = "source cut off"
	ignoredRepeated FindingOutcome = "repeated"
	ignoredLimit    FindingOutcome = "limit"
	ignoredAnswered FindingOutcome = "answered"
)

// Dropped reports whether the finding was dropped as unusable.
func (o FindingOutcome) Dropped() bool {
	switch o {
	case droppedGarbled, droppedUnknown, droppedIncarnation, droppedFuture, droppedOld, droppedTooMany:
		return true
	default:
		return false
	}
}

// keptFinding is a finding with the moment at which it was made and the one at which this instance learned of it.
type keptFinding struct {
	backend.Finding
	server    *backend.Server
	at        time.Time
	learnedAt time.Time
	own       bool
	// until is when its effect ends; it is zero if it never had one. Supported is true if others had found the same.
	until     time.Time
	supported bool
}

// findingBook judges findings about servers. It is not safe for concurrent use.
type findingBook struct {
	kept []*keptFinding
}

// validate returns why a finding is unusable, or findingValid. The server is the one that it names, or nil.
func validate(f backend.Finding, server *backend.Server) FindingOutcome {
	named := f.Server != "" && f.Source != "" && max(len(f.Server), len(f.Source), len(f.Domain)) <= maxNameLength
	switch {
	case !named || !f.Kind.Known():
		return droppedGarbled
	case f.Age < 0:
		return droppedFuture
	case f.Age > maxFindingAge:
		return droppedOld
	case server == nil:
		return droppedUnknown
	case server.Incarnation().Born != f.Born:
		return droppedIncarnation
	default:
		return findingValid
	}
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
		b.dropUnreachable(k.Source, k.Domain, now)
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

// knows reports whether the finding is one that has come by another way, since its moment is known only roughly.
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
		if other.server == k.server && other.Source != k.Source && k.at.Sub(other.at).Abs() <= evidenceTime {
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
		if other.Source == k.Source && other.server == k.server {
			return ignoredRepeated
		}
		if now.Before(other.until) && other.server.Service() == k.server.Service() {
			all[other.server] = true
			if other.Source == k.Source {
				ofOne[other.server] = true
			}
		}
	}
	if len(ofOne) >= allowed(servers, findingsOfOneShare) || len(all) >= allowed(servers, findingsShare) {
		return ignoredLimit
	}
	return findingValid
}

func allowed(servers int, share float64) int { return max(int(float64(servers)*share), 1) }

// cutOff reports whether the source of a finding is probably cut off from the domain of its server: it could not reach several
// servers of other domains.
func (b *findingBook) cutOff(k *keptFinding) bool {
	if !k.Kind.Unreachable() || k.server.Domain() == k.Domain {
		return false
	}
	lost := map[*backend.Server]bool{}
	for _, other := range b.kept {
		if other.Source == k.Source && other.Kind.Unreachable() && other.server.Domain() != k.Domain &&
			k.at.Sub(other.at).Abs() <= evidenceTime {
			lost[other.server] = true
		}
	}
	return len(lost) >= cutOffServers
}

// dropUnreachable ends the effect of the findings of a source that it cannot reach servers of other domains.
func (b *findingBook) dropUnreachable(source, domain string, now time.Time) {
	for _, k := range b.kept {
		if k.Source == source && k.Kind.Unreachable() && k.server.Domain() != domain && now.Before(k.until) {
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
		if other.Source == k.Source {
			ofSource++
		}
	}
	if len(b.kept) >= maxFindingsHeld || ofSource >= maxFindingsOfOne {
		return false
	}
	b.kept = append(b.kept, k)
	return true
}

// forget removes the findings that are too old to count.
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
