// Package intent holds the configuration document and the intents by which operators change it. An intent is a list of
// changes with a reason.
package intent
