// Package call holds the types that describe a request as it is forwarded from a caller to a backend server and its answer, and
// the Codec interface by which a protocol adapter reads and writes their heads.
package call
