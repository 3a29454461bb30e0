package control

import (
	"junctioncross/engine"
	"junctioncross/gossip"
	"junctioncross/member"
	"junctioncross/order"
)

// message is a message to the control goroutine; the types below are its only implementations.
type message interface{ message() }

// exchangeRequested holds another instance's digest; the answer holds the updates that it lacks.
type exchangeRequested struct {
	digest gossip.Digest
	answer chan exchangeResponse
}

// updatesArrived holds updates from other instances.
type updatesArrived struct{ updates []gossip.Update }

// deltaRequested requests the updates that the owner of a digest lacks.
type deltaRequested struct {
	digest gossip.Digest
	answer chan []gossip.Update
}

// reportArrived is a backend server's report, or the error of requesting it.
type reportArrived struct {
	name   string
	report engine.Report
	err    error
}

// listArrived holds the platform's instance list.
type listArrived struct{ lines []member.ListedInstance }

// configurationChanged notifies that a newer configuration is in force.
type configurationChanged struct{}

// kvAnswered notifies that the key-value service answered a read or a watch.
type kvAnswered struct{}

// movingChanged holds the names of all servers that are being drained before they get an order.
type movingChanged struct{ names []string }

// statusRequested requests the statuses of the instances of the domain.
type statusRequested struct{ answer chan []InstanceStatus }

// listRequested requests the platform's instance list as it was last read.
type listRequested struct{ answer chan []member.ListedInstance }

// serversRequested requests the servers of the domain as planned and as last reported.
type serversRequested struct{ answer chan serversAnswer }

// serversAnswer holds what the servers of the domain should hold and, by name, what they were last reported to hold.
type serversAnswer struct {
	targets []order.Target
	seen    map[string]order.Seen
}

// leaveRequested asks to publish that this instance is stopping; done is closed afterwards.
type leaveRequested struct{ done chan struct{} }

func (exchangeRequested) message()    {}
func (updatesArrived) message()       {}
func (deltaRequested) message()       {}
func (reportArrived) message()        {}
func (listArrived) message()          {}
func (configurationChanged) message() {}
func (kvAnswered) message()           {}
func (movingChanged) message()        {}
func (statusRequested) message()      {}
func (listRequested) message()        {}
func (serversRequested) message()     {}
func (leaveRequested) message()       {}
