// Package plan places the layers of models on backend servers and computes the throughput that the hardware allows.
package plan
