// Package gossip spreads small facts among the instances of a failure domain. The table is pure state: what to send and
// what is new follows from digests alone.
package gossip
