// Package service is the adapter to plain services: it forwards calls and repeats only those that may be repeated.
package service
