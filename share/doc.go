// Package share decides whose request is next: groups by weight, accounts by weight within their group, both by the cost
// of the tokens they used. It holds no clock, no lock and does no I/O.
package share
