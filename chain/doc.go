// Package chain chooses the path of a request through engines that pass work among themselves: a sequence of servers whose
// layer ranges tile the model. It also predicts times from the published cost model. It holds no clock and does no I/O.
package chain
