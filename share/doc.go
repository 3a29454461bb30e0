// Package share is a weighted fair queue for requests. It divides capacity among groups by weight, and a group's part among
// its accounts by weight; usage is measured as the cost of tokens. It reads no clock, takes no locks and does no I/O.
package share
