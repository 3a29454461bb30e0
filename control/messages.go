package control

import (
	"junctioncross/engine"
	"junctioncross/gossip"
	"junctioncross/member"
	"junctioncross/order"
)

// message is what the control goroutine receives; the types below are its only implementations.
type message interface{ message() }

// exchangeAsked is a peer's digest; the answer holds what the peer lacks.
type exchangeAsked struct {
	digest gossip.Digest
	answer chan exchangeResponse
}

// updatesArrived holds statements of other instances.
type updatesArrived struct{ updates []gossip.Update }

// deltaAsked asks for what the holder of a digest lacks.
type deltaAsked struct {
	digest gossip.Digest
	answer chan []gossip.Update
}

// reportArrived is a backend server's report, or the error of asking for it.
type reportArrived struct {
	name   string
	report engine.Report
	err    error
}

// listArrived is the platform's instance list.
type listArrived struct{ lines []member.Listed }

// configurationChanged says that a newer configuration is in force.
type configurationChanged struct{}

// kvAnswered says that the key-value service answered a watch.
type kvAnswered struct{}

// movingChanged names the servers that are drained for an order.
type movingChanged struct{ names []string }

// statusAsked asks for the instances of the domain.
type statusAsked struct{ answer chan []InstanceStatus }

// listAsked asks for the platform's instance list as last read.
type listAsked struct{ answer chan []member.Listed }

// serversAsked asks for the servers of the domain, as planned and as seen.
type serversAsked struct{ answer chan serversAnswer }

type serversAnswer struct {
	targets []order.Target
	seen    map[string]order.Seen
}

// leaveRequested says that this instance stops.
type leaveRequested struct{ done chan struct{} }

func (exchangeAsked) message()        {}
func (updatesArrived) message()       {}
func (deltaAsked) message()           {}
func (reportArrived) message()        {}
func (listArrived) message()          {}
func (configurationChanged) message() {}
func (kvAnswered) message()           {}
func (movingChanged) message()        {}
func (statusAsked) message()          {}
func (listAsked) message()            {}
func (serversAsked) message()         {}
func (leaveRequested) message()       {}
