// Package backend keeps what an instance knows of each backend server and decides whether the server may get new requests. The
// knowledge comes from the server's entry in the store, its answers, the reports that other instances share, and the requests that
// this instance has on it.
//
// The servers of a plain service each run whole requests. The servers of a chained engine each hold a range of a model's layers,
// and a request passes along a path of servers that together hold all layers; the part of a path that one server runs is a stage.
package backend
