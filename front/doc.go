// Package front holds the callers' connections of a hosted instance: it reads requests, notices callers that leave, writes
// answers and streams, and stops without cutting a request.
package front
