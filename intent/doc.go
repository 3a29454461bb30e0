// Package intent holds the configuration document that operators change, and the intents that change it.
package intent
