# Turns the lines of Go benchmarks into figures.
/^BenchmarkChoose/      { name = "choose" }
/^BenchmarkAdmission/   { name = "admission" }
/^BenchmarkShareUpdate/ { name = "share_update" }
/^Benchmark/ {
	split($1, parts, "[=-]")
	print "figure " name "_ns_" parts[2] " " $3 " ns"
	print "figure " name "_allocs_" parts[2] " " $7 " allocs"
}
