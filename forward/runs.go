package forward

import "junctioncross/backend"

// ranOn notes that a server may have run the request.
func (r *request) ranOn(s *backend.Server) {
	r.runs++
	r.ran = append(r.ran, s)
}

// standing returns how many of the servers that may have run the request have not ended since: the number of servers that may run
// one request bounds what is at work on it, and a server that has ended is not.
func (r *request) standing() int {
	n := 0
	for _, s := range r.ran {
		if !s.Ended() {
			n++
		}
	}
	return n
}
