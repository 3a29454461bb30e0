// Package entry answers callers: the usual HTTP API for language models and the paths of plain services.
package entry
