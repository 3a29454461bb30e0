package control

import (
	"junctioncross/gossip"
	"junctioncross/member"
	"junctioncross/view"
)

// handle handles one message on the control goroutine.
func (l *Loop) handle(m message) {
	switch m := m.(type) {
	case exchangeRequested:
		m.answer <- exchangeResponse{Updates: l.table.Delta(m.digest), Digest: l.table.Digest()}
	case deltaRequested:
		m.answer <- l.table.Delta(m.digest)
	case updatesArrived:
		l.mergeUpdates(m.updates)
	case reportArrived:
		l.handleReport(m)
	case listArrived:
		l.handleList(m.lines)
	case configurationChanged:
		l.applyConfiguration()
	case kvAnswered:
		l.kvAnswers++
	case movingChanged:
		l.table.Set(entryMoving, encode(m.names))
		l.scheduleUpdate()
	case statusRequested:
		m.answer <- l.statuses()
	case listRequested:
		m.answer <- append([]member.ListedInstance(nil), l.listed...)
	case serversRequested:
		m.answer <- l.domainServers()
	case leaveRequested:
		l.announceLeave(m)
	}
}

// mergeUpdates merges updates from other instances into the table.
func (l *Loop) mergeUpdates(updates []gossip.Update) {
	if !l.table.Merge(updates, l.deps.Clock.Now()) {
		return
	}
	l.refreshMembers()
	l.chargeRemote()
	l.scheduleUpdate()
	l.fetchNewer()
}

// applyConfiguration applies a configuration that has just come into force.
func (l *Loop) applyConfiguration() {
	f := l.deps.Keeper.InForce()
	if f == nil || l.index != nil && l.index.Revision() >= f.Head().Revision {
		return
	}
	l.index = view.NewIndex(f)
	l.deps.Stats.Gauge("revision").Update(int64(f.Head().Revision))
	l.deps.Log.WithField("revision", f.Head().Revision).Info("configuration in force")
	l.syncBackends()
	l.mergeBackends()
	l.publishSnapshot()
	l.publishStatus()
	l.exchangeWithAll()
}

// announceLeave publishes that this instance is stopping.
func (l *Loop) announceLeave(m leaveRequested) {
	l.leaving = true
	l.publishStatus()
	l.refreshMembers()
	l.exchangeWithAll()
	close(m.done)
}
