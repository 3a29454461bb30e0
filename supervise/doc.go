// Package supervise keeps a panic in one part of an instance from ending the process, and with it all answers that the instance
// carries. A panic is recorded in the log and the metrics; the part runs again after a pause that grows. What the part held may be half
// changed then, so that each part says what it gives up after a panic.
package supervise
