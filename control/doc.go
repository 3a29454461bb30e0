// Package control keeps the control state of an entry instance on one goroutine: members, backend servers, the
// configuration in force and what follows from them for the request path.
package control
