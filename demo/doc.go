// Package demo starts a fleet and checks on it, one by one, the properties that the system guarantees.
package demo
