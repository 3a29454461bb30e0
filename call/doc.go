// Package call holds the types that describe one request on its way from a caller to a backend server and its answer on the
// way back, and the Codec by which an adapter reads and writes them.
package call
