// Package bench measures fleets on loopback and prints the figures.
package bench
