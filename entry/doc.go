// Package entry answers callers: it serves the usual HTTP API for language models (chat completions, completions and the list of
// models), and forwards the calls of plain services.
package entry
