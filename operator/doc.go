// Package operator answers operators: intents, plans, confirmations, status and history over HTTP with mutual TLS.
package operator
