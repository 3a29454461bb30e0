// Package service forwards calls to the backend servers of plain services. It retries a call that may already
// have run only if the settings of the service allow that.
package service
