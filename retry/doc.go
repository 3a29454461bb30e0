// Package retry holds the means to retry failed work and to limit its rate: retry budgets, circuit breakers, exponential backoff
// and pacers for rate limits. It reads no clock and does no I/O: callers pass in the time and the random numbers.
package retry
