// Package backend keeps what an instance knows of each backend server: what its entry in the store, its answers and the reports
// that other instances share say, the requests that this instance has on it, and whether it may get new ones.
//
// The servers of a plain service each run whole requests. The servers of a chained engine each hold a range of a model's layers,
// and a request passes along a path of servers that together hold all layers; the part of a path that one server runs is a stage.
package backend
