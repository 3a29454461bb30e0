// Package kv is the interface to the platform's key-value service and its HTTP adapter.
package kv
