// Package claim makes sure that a request that may not be repeated runs at most once: an idempotency key is claimed in a
// log in the key-value service before the request is sent. Safety rests on create-if-absent alone.
package claim
