// Package metrics holds the metrics of a process and prints them in the text exposition format of Prometheus.
package metrics
