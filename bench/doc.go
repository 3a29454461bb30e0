// Package bench runs benchmarks of whole fleets on loopback and prints the measured figures.
package bench
