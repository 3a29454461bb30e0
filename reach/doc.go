// Package reach tracks which backend servers this instance reaches over its own network links.
package reach
