// Package schema describes every line of an instance's log: message, level, and the names and kinds of its
// fields. docs/LOG.md is generated from its types.
package schema
