// Package models holds the small value types that the other packages share: the fate of a request, reasons of refusals and
// retries, HTTP header names and ranges of layers.
package models
