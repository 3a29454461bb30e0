// Package story reads the JSON lines of many instances and tells what happened to one request, or what one instance
// believed, in order of time.
package story
