// Package control keeps the control state of an entry instance on one goroutine: the instances of its failure domain, the backend
// servers and the configuration in force. From these it derives the snapshot and the admission limits for the request path. The
// instances of a domain exchange their state by gossip.
package control
