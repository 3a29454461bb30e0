// Package app wires the parts of an entry instance together and runs it.
package app
