// Package operator is the operators' API over HTTP with mutual TLS, server and client: intents, plans and their confirmation,
// status and history.
package operator
