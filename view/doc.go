// Package view shows the control state to the request path: an immutable snapshot that is replaced as a whole.
package view
