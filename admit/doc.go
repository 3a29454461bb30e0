// Package admit limits the number of requests that run at once for each model, and admits queued requests by weighted fair
// shares.
package admit
