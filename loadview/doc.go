// Package loadview holds what an instance shows operators of the load on its chained services, and merges what several instances
// show.
package loadview
