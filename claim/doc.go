// Package claim makes sure that a request with an idempotency key, which must not be run twice, runs at most once: before the
// request is sent, its key is claimed in a log in the key-value service. The log is split into partitions by key. Its safety
// depends only on the service creating a record if none exists under the key, and not on how many instances write to a
// partition.
package claim
