// Package once makes HTTP clients that send each request at most once, and tells which failures came before any byte was
// sent.
package once
