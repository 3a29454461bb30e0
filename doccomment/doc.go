// Package doccomment reads the source files that a package embeds, for reference pages that are made from their doc comments.
package doccomment
