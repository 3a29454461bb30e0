// Package schema names each line of an instance's log with its fields and their kinds; docs/LOG.md is made from its types.
package schema
