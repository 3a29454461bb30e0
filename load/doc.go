// Package load is the callers' side of experiments: a streaming client that checks answers, and open-loop load.
package load
