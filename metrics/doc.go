// Package metrics counts what the system does and prints the counts in the text exposition format.
package metrics
