// Package engine is the adapter to the model engines that run on backend servers: the wire types, a client for single calls and a
// batcher that sends several frames for a server in one call.
package engine
