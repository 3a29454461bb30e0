package control

import "junctioncross/member"

// post sends a message to the control goroutine; it drops the message if that has stopped.
func (l *Loop) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.stopped:
	}
}

// ask posts a message that carries a channel for the answer and waits for the answer. It returns the zero value if the control
// goroutine has stopped.
func ask[A any](l *Loop, build func(answer chan A) message) A {
	answer := make(chan A, 1)
	l.post(build(answer))
	select {
	case a := <-answer:
		return a
	case <-l.stopped:
		var zero A
		return zero
	}
}

// Leave notifies the other instances that this one is stopping.
func (l *Loop) Leave() {
	ask(l, func(done chan struct{}) message { return leaveRequested{done: done} })
}

// Statuses returns what is known about the instances of the domain.
func (l *Loop) Statuses() []InstanceStatus {
	return ask(l, func(answer chan []InstanceStatus) message { return statusRequested{answer: answer} })
}

// Listed returns the platform's instance list as it was last read.
func (l *Loop) Listed() []member.ListedInstance {
	return ask(l, func(answer chan []member.ListedInstance) message { return listRequested{answer: answer} })
}
