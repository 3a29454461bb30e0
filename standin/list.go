package standin

import (
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"junctioncross/member"
)

// listVersion is the content of the list from a moment on.
type listVersion struct {
	at        time.Time
	instances []member.ListedInstance
}

// InstanceList is a fake of the platform's instance list, which lags behind: a change becomes visible only after the lag.
type InstanceList struct {
	lag time.Duration

	mu       sync.Mutex
	versions []listVersion
}

// NewInstanceList returns an empty list with the given lag.
func NewInstanceList(lag time.Duration) *InstanceList { return &InstanceList{lag: lag} }

// Set replaces the content of the list. Readers see the new content after the lag, the first content at once.
func (l *InstanceList) Set(instances []member.ListedInstance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.versions) == 0 {
		now = now.Add(-l.lag)
	}
	l.versions = append(l.versions, listVersion{at: now, instances: instances})
}

// Get returns the content of the list as of one lag before now.
func (l *InstanceList) Get(now time.Time) []member.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []member.ListedInstance{}
	for _, v := range l.versions {
		if now.Sub(v.at) >= l.lag {
			out = v.instances
		}
	}
	return out
}

// Handler returns the HTTP handler of the list; GET returns its content, POST replaces it.
func (l *InstanceList) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET(member.PathInstances, func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, l.Get(time.Now())) })
	r.POST(member.PathInstances, func(ctx *fasthttp.RequestCtx) {
		handleJSON(ctx, func(instances []member.ListedInstance) { l.Set(instances, time.Now()) })
	})
	return r.Handler
}
