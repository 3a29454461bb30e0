// Package pipeline produces the tokens of an answer: for each token it sends frames through the stages of a path in order, and it
// continues on another path when a stage fails.
package pipeline
