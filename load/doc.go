// Package load generates requests for tests and benchmarks: a streaming client, and closed-loop and open-loop load whose
// answers are checked.
package load
