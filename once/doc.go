// Package once provides HTTP clients that send each request at most once and tells which errors mean that nothing was sent. It
// also provides a dialer whose connections are closed when the other end has vanished.
package once
