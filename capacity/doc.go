// Package capacity computes from measured figures what each role of an instance costs at the design size, and makes
// docs/CAPACITY.md and its plots from them.
package capacity
