// Package view gives the request path the state that the control loop maintains (the configuration and the backend servers that
// are known), as an immutable snapshot that is replaced as a whole.
package view
