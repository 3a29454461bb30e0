// Package admit limits the requests that run at once for each model and lets waiting ones in by their shares.
package admit
