// Package chain chooses the path of a request through chained engines: a sequence of servers that each run a range of the
// model's layers and pass the activations on to the next one, so that the ranges tile the model. It also predicts times from
// the published cost model. It reads no clock and does no I/O.
package chain
