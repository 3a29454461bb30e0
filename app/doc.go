// Package app builds an instance from its parts and runs it: Run runs an entry instance with its own control loop,
// RunHosted an instance in front of a platform's backend servers.
package app
