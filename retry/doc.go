// Package retry decides whether and when an attempt may be repeated: budgets, circuits and pauses, without clock or I/O.
package retry
