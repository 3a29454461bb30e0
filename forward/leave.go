package forward

// runEnd is what ended a run that broke.
type runEnd string

const (
	// endAtServer: the server or the path to it ended the connection.
	endAtServer runEnd = "server"
	// endRestart: the instance closed the connection, since the server has started again.
	endRestart runEnd = "restart"
	// endHandedOver: the instance closed it to go on along another path.
	endHandedOver runEnd = "handed_over"
	// endNotListening: the instance closed it, since nothing listens at the server's address.
	endNotListening runEnd = "not_listening"
	// endForgotten: the instance closed it, since the server does not know the request.
	endForgotten runEnd = "forgotten"
	// endLostPath: the instance closed it, since it reaches the server through another instance only.
	endLostPath runEnd = "lost_path"
	// endEndless: the instance closed it, since what comes completes no event.
	endEndless runEnd = "endless_bytes"
)

// closeRun closes the connection of the present run. The caller holds the lock of the watcher, which guarantees that this is still the
// connection of that run.
func (w *watcher) closeRun(f *inflight, why runEnd) {
	f.closedFor.Store(&why)
	w.handler.stats.Counter("runs_closed_total{reason=\"" + string(why) + "\"}").Inc(1)
	_ = f.conn.Close()
}

// runEnded returns what ended the present run, which broke.
func (f *inflight) runEnded() runEnd {
	if why := f.closedFor.Load(); why != nil {
		return *why
	}
	if f.first.Context().Err() != nil {
		return endRestart
	}
	return endAtServer
}
