// Package headcase lists answers with broken heads, and unusual sound ones, for tests and for the servers that play them.
package headcase
