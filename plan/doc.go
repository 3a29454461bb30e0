// Package plan assigns layers of models to backend servers and computes the throughput that the hardware allows.
package plan
