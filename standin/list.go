package standin

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"junctioncross/member"
)

type listVersion struct {
	at        time.Time
	instances []member.Listed
}

// InstanceList is the platform's instance list, which shows what was true a lag ago.
type InstanceList struct {
	lag time.Duration

	mu       sync.Mutex
	versions []listVersion
}

// NewList returns an empty list with that lag.
func NewList(lag time.Duration) *InstanceList { return &InstanceList{lag: lag} }

// Set replaces the list; readers see it when the lag has passed.
func (l *InstanceList) Set(instances []member.Listed, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		now = now.Add(-l.lag)
	}
	l.versions = append(l.versions, listVersion{at: now, instances: instances})
}

// Get returns the list as it was a lag ago.
func (l *InstanceList) Get(now time.Time) []member.Listed {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []member.Listed{}
	for _, v := range l.versions {
		if now.Sub(v.at) >= l.lag {
			out = v.instances
		}
	}
	return out
}

// Handler returns the list's HTTP interface.
func (l *InstanceList) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET(member.PathInstances, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, l.Get(time.Now())) })
	r.POST(member.PathInstances, func(ctx *fasthttp.RequestCtx) {
		handleJSON(ctx, func(instances []member.Listed) { l.Set(instances, time.Now()) })
	})
	return r.Handler
}
