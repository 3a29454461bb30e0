package forward

import (
	"math"
	"time"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/chain"
)

// needOf returns the number of tokens that a path must have memory for, which is 0 for plain services, and the instance's domain.
func (h *Handler) needOf(r *request) chain.Need {
	if r.group.Graph() == nil {
		return chain.Need{Domain: h.settings.Load().Domain}
	}
	engine := r.group.Graph().Engine()
	prompt := r.meta.PromptTokens
	if prompt == 0 {
		prompt = engine.UsualPrompt
	}
	answer := expectedAnswerTokens(r.meta.HintTokens, engine.UsualAnswer)
	if r.meta.AnswerTokens > 0 {
		answer = min(answer, r.meta.AnswerTokens)
	}
	return chain.Need{Prompt: prompt, Tokens: prompt + answer, Domain: h.settings.Load().Domain}
}

// hintWeight is the weight of a caller's estimate against the service's usual answer length, both on a logarithmic scale. The
// median of the estimates is right, but they are often off by half, while the lengths of answers vary by as much as the length
// itself.
const hintWeight = 0.7

// expectedAnswerTokens returns the expected length of an answer, in tokens, from the caller's estimate and the usual length.
func expectedAnswerTokens(hint, usual int) int {
	if hint < 1 || usual < 1 {
		return max(hint, usual)
	}
	return int(math.Pow(float64(hint), hintWeight) * math.Pow(float64(usual), 1-hintWeight))
}

// streamSlack covers answers that are longer, and steps that are slower, than expected.
const streamSlack = 2.0

const (
	// Callers give up on a stream after the longest of minPatience, patiencePerObjective times the objective, and
	// patiencePerPause times the accepted pause between events, as the users' clients do.
	minPatience          = 2 * time.Second
	patiencePerObjective = 4
	patiencePerPause     = 8
)

// patienceOf returns how long callers wait for the next event before they leave. A stream that cannot continue within that time
// is better ended at once.
func patienceOf(r *catalog.Route) time.Duration {
	return max(minPatience, patiencePerObjective*r.Objective, patiencePerPause*r.PauseObjective)
}

// choosePath returns a path for a whole stream: a server of a plain service, or else a lane with room or, when missing servers leave no lane,
// any path whose servers are expected to have room.
func (h *Handler) choosePath(f *inflight) (chain.Path, bool) { return h.choosePathFrom(f, nil) }

// choosePathFrom is choosePath for a path that starts at one of some servers; nil means any.
func (h *Handler) choosePathFrom(f *inflight, starts []*backend.Server) (chain.Path, bool) {
	p, ok := h.choosePathIn(f, f.r.group, starts)
	if ok {
		f.laneLoad, f.chosenAt = p.load, p.at
	}
	return p.path, ok
}

// choosePathIn returns a path through the servers of a group, chosen as by choosePath, that starts at one of some servers; nil means any.
func (h *Handler) choosePathIn(f *inflight, group *backend.Group, starts []*backend.Server) (chosenPath, bool) {
	if group.Graph() == nil {
		return h.choosePlain(f, group, starts)
	}
	now := h.clock.Now()
	lanes := h.lanesOf(group, now)
	if len(lanes) > 0 {
		choice := newLaneChoice(group, lanes, h.settings.Load().Domain, h.instances.Instances(), now)
		choice.avoid = f.avoid(group, now)
		choice.starts = startsOf(group, starts)
		choice.steps, choice.timeLeft = int(streamSlack*float64(f.need.Tokens-f.need.Prompt)), h.remaining(f.r)
		i := choice.pick()
		if i < 0 {
			return chosenPath{}, false
		}
		return chosenPath{group: group, path: lanes[i].Path, load: choice.load[i], at: now}, true
	}
	state := h.chainState(group, now)
	state.avoid = f.avoid(group, now)
	state.starts = startsOf(group, starts)
	path, ok := chain.Choose(group.Graph(), state, f.need)
	return chosenPath{group: group, path: path, at: now}, ok
}

func (h *Handler) laneCacheOf(service string) *laneCache {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.lanes[service]
	if b == nil {
		b = &laneCache{}
		h.lanes[service] = b
	}
	return b
}

// chainState returns what is known about the servers of a group.
func (h *Handler) chainState(group *backend.Group, now time.Time) *chainState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &chainState{servers: group.Servers(), engine: group.Graph().Engine(), now: now, loadRatio: h.loadRatio.estimate, instances: h.instances.Instances()}
}
