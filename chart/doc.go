// Package chart runs state machines whose states and transitions (state charts) are defined in the YAML files of this folder.
package chart
