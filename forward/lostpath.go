package forward

import "junctioncross/backend"

// observePath follows changes of whether servers are within reach over the instance's own links.
func (w *watcher) observePath(change backend.PathChange) {
	switch c := change.(type) {
	case backend.PathLost:
		if server := w.handler.fleetView.ServerAt(c.Addr); server != nil {
			forgive(server)
		}
		if c.Many && !w.manyPathsLost.Swap(true) {
			w.forgiveAll()
		}
	case backend.PathsRegained:
		w.manyPathsLost.Store(false)
	}
}

// forgive takes back what was concluded from the silence of a server: it is the path to it that did not answer.
func forgive(server *backend.Server) {
	server.ForgiveSilence()
	server.NoteAlive()
	server.CloseIdle()
}

func (w *watcher) forgiveAll() {
	for _, group := range w.handler.fleetView.Current().Groups() {
		for _, server := range group.Servers() {
			forgive(server)
		}
	}
}

// onLostPath reports whether a stream uses the own links to its first server although these no longer reach it.
func (h *Handler) onLostPath(f *inflight) bool {
	return f.conn != nil && f.conn.Direct() && h.dialer.Lost(f.first.Addr())
}

// pathFailed reports whether an error on a connection to a server comes from the path to it and not from the server.
func (h *Handler) pathFailed(server *backend.Server, conn *backend.Conn, err error) bool {
	return conn != nil && h.dialer.PathFailed(server.Addr(), conn.Conn, err)
}
