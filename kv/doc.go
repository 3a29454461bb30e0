// Package kv defines the interface to the platform's key-value service and implements it over HTTP.
package kv
