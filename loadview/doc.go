// Package loadview defines the page with which an instance shows operators the load on its chained services, whose servers each
// run some of the layers of a model, and merges the pages of several instances.
package loadview
