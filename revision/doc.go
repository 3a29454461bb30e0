// Package revision stores the configuration in the platform's key-value service as immutable segments under one head,
// and holds the revision that is in force in this process.
package revision
