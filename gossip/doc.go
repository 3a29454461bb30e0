// Package gossip spreads small entries among the instances of a failure domain. A Table does no I/O: it computes from digests
// alone which entries another instance lacks, and the caller exchanges them.
package gossip
