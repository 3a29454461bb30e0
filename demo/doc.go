// Package demo checks on a running fleet, one by one, what the system promises.
package demo
