// Package doccomment parses the source files that a package embeds, for reference pages that are generated from their doc
// comments.
package doccomment
