// Package revision stores the configuration in the platform's key-value service and holds the revision of it that is in force
// in this process. The configuration is stored as immutable segments, which are addressed by the hash of their content, and one
// head record, which names the segments that belong to it.
package revision
