// Package front is the HTTP/1.1 server of a hosted instance: it accepts callers' connections, reads requests, cancels requests
// whose callers disconnect, writes answers and streams, and stops without cutting a request off.
package front
