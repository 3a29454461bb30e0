// Package tunnel connects an instance to backend servers through other instances, for servers that it does not reach over its own
// network links. A tunnel carries the bytes of one connection to one server; the other instance opens that connection and decides
// nothing about the requests on it.
package tunnel
