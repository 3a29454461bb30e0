// Package pipeline produces the tokens of one answer: it sends each token's frames through the stages of a path and
// replaces the path when a stage fails.
package pipeline
