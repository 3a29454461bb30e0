// Package chart interprets the state charts that stand in YAML files beside the code.
package chart
