package follow

import (
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/catalog"
)

// misfitOf returns why an entry does not fit the configuration in force, and whether that is so.
func (l *Loop) misfitOf(e backend.Entry) (backend.Misfit, bool) {
	if !l.hasService(e.Service) {
		return backend.Misfit{}, false
	}
	return backend.MisfitOf(l.catalog.Service(e.Service).Engine, e.Kind, e.Layers)
}

// adoptLayers has the instance work with the layers of a server's newest entry if they fit the configuration in force, or else a model that the
// server had before, of which requests may still be under way. They rely on the former layers otherwise.
func (l *Loop) adoptLayers(tracked *trackedServer) {
	e := tracked.entry
	configured := l.hasService(e.Service)
	if _, found := l.misfitOf(e); configured && !found {
		tracked.noteEngine(l.catalog.Service(e.Service).Engine)
		tracked.server.AdoptLayers()
		return
	}
	if known := tracked.engine; known == nil && !configured || known != nil && known.HasLayers(e.Layers) {
		tracked.server.AdoptLayers()
	}
}

// noteEngine keeps the engine if its model has more layers than those before.
func (t *trackedServer) noteEngine(e *catalog.Engine) {
	if e != nil && (t.engine == nil || e.Layers > t.engine.Layers) {
		t.engine = e
	}
}

// adoptAllLayers is adoptLayers for all servers, after the configuration has changed.
func (l *Loop) adoptAllLayers() {
	for _, tracked := range l.servers {
		l.adoptLayers(tracked)
	}
}

// markMisfit takes a known server out of use because of an entry that does not fit and changes nothing else that is known of it.
func (l *Loop) markMisfit(tracked *trackedServer, m backend.Misfit) bool {
	if !tracked.misfit.Same(m) {
		tracked.misfit = m
		l.countUnusable(m.Field())
		l.logFit(tracked)
	}
	changed := !tracked.unusable
	tracked.unusable = true
	return changed
}

// noteMisfits logs the servers that a new snapshot leaves out since they do not fit, each once for a value, and those that are used again.
func (l *Loop) noteMisfits(s *Snapshot) {
	var changed []*trackedServer
	for _, tracked := range l.servers {
		if tracked.unusable {
			continue
		}
		m, found := s.misfits[tracked.server]
		if tracked.misfit.Same(m) {
			continue
		}
		tracked.misfit = m
		changed = append(changed, tracked)
		if found {
			l.countUnusable(m.Field())
		}
	}
	l.stats.Gauge("servers_misfit").Update(int64(len(s.misfits)))
	if len(changed) > maxLoggedEntries {
		l.log.WithFields(logrus.Fields{"servers": len(l.servers), "misfits": len(s.misfits), "config": s.Catalog().Version()}).
			Warn("servers do not fit the model")
		return
	}
	for _, tracked := range changed {
		l.logFit(tracked)
	}
}

// logFit logs that a server does not fit the configuration in force, or fits again.
func (l *Loop) logFit(tracked *trackedServer) {
	if m := tracked.misfit; m.Field() != "" {
		l.logUnusable(EntryUnusable{ID: tracked.entry.ID, Field: m.Field(), Value: m.Value(), Err: m.Err()})
		return
	}
	if l.hasService(tracked.entry.Service) {
		l.logServer(tracked.entry, "server changed")
	}
}

// countUnusable counts an entry that names no server to use, by its field.
func (l *Loop) countUnusable(field string) {
	l.stats.Counter("entries_unusable_total{field=\"" + field + "\"}").Inc(1)
}

// logUnusable logs an entry that names no server to use.
func (l *Loop) logUnusable(c EntryUnusable) {
	l.log.WithFields(logrus.Fields{"server": c.ID, "field": c.Field, "value": c.Value}).WithError(c.Err).
		Warn("entry names no server to use")
}
