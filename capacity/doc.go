// Package capacity works out what each role costs at the design size from measured figures, and writes docs/CAPACITY.md.
package capacity
