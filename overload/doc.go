// Package overload measures how loaded this instance itself is, by its processor, its network link, its memory and the delay with which
// it gets the processor, and decides which share of callers' new connections it can take.
package overload
