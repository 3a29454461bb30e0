package capacity

import "math"

// largestRun is the number of instances of the largest simulated run of the sweep.
const largestRun = 300.0

// extrapolated returns the figure of the largest run of the sweep extrapolated to the design size by a power law, whose
// exponent is the figure NAME_power.
func (b *pageBuilder) extrapolated(name string) float64 {
	return b.get(name+"_300") * math.Pow(instances/largestRun, b.get(name+"_power"))
}

// sizeRows returns a row with the values of the busiest instance at each size of the sweep, and a row that extrapolates them.
func (b *pageBuilder) sizeRows(quantity, name, unit string) []Row {
	const at = "sweep, the busiest of 30, 100 and 300 instances with ten servers each; the day of 300 was given up at 15.4 s"
	return []Row{
		newRow(quantity, Measured, at, "%.4g / %.4g / %.4g %s", b.get(name+"_30"), b.get(name+"_100"), b.get(name+"_300"), unit),
		newRow(quantity+" at 410", WorkedOut, "the power between these sizes", "%.4g %s", b.extrapolated(name), unit),
	}
}

// hosted returns the role of an instance that serves in front of a platform's own servers. The busiest of these instances
// are the relays of their domains.
func (b *pageBuilder) hosted() Role {
	rows := b.sizeRows("processor time", "sweep_cpu_pct", "% of a core")
	rows = append(rows, b.sizeRows("memory", "sweep_rss_mb", "MB")...)
	rows = append(rows, b.sizeRows("bytes", "sweep_kb_s", "kB/s")...)
	rows = append(rows, b.sizeRows("connections", "sweep_conns", "open")...)
	rows = append(rows,
		newRow("bytes of the middle instance at 300", Measured, "the same day", "%.0f kB/s", b.get("sweep_kb_s_middle_300")),
		newRow("configuration in force at 300, longest", Measured, "the same day", "%.0f ms", b.get("sweep_in_force_ms_300")),
		newRow("serving again after the end of all, 30 / 100 / 300", Measured, "the same days", "%.1f / %.1f / %.1f s",
			b.get("sweep_serving_ms_30")/1000, b.get("sweep_serving_ms_100")/1000, b.get("sweep_serving_ms_300")/1000),
	)
	rows = append(rows, b.fleetRows()...)
	rows = append(rows, b.loadRows()...)
	return Role{
		name: "Instance of jxd serve (one relay in each domain)", mechanism: "relay, follow, membership, forward", rows: rows,
		twice: "from 985 instances on: the relay's answers in steady state, 2.5 to 5 a second for each instance of its domain, and changes of" +
			" servers, which go to every instance; expected near 400 followers of a relay with 0.8 of two cores, not measured. The rows of the" +
			" sweep are of the code before records were compressed.",
		tenfold: "whole feeds in domains without strong instances: 24 lines of 20 Mbit/s serve a domain of 200 in about 20 s; followers would" +
			" have to pass on to others what they hear.",
	}
}

// fleetRows returns the rows on the start of a fleet of hundreds of instances, and those on its load before the number of
// registration records was bounded.
func (b *pageBuilder) fleetRows() []Row {
	const (
		played = "relay/fleetstart_test.go, simulated time, store's line of 1,000 Mbit/s"
		base   = "base line of 985 instances and 3,005 servers, which served nearly nobody"
	)
	return []Row{
		newRow("start of all, 985 / 2,000 instances", Measured, played, "%.2f / %.2f s", b.get("fleet_start_s_985"), b.get("fleet_start_s_2000")),
		newRow("the same, store slow for the first 5 s", Measured, played, "%.2f / %.2f s", b.get("fleet_slow_s_985"), b.get("fleet_slow_s_2000")),
		newRow("priced calls to the store of a start, 985 / 2,000", Measured, played, "%.0f / %.0f", b.get("fleet_start_calls_985"), b.get("fleet_start_calls_2000")),
		newRow("records in the store", WorkedOut, "8 to relays.from for each domain, however many instances", "40 to 120 in 5 domains"),
		newRow("records read at a start", WorkedOut, "985 x 50 records x 300 B, of 125 MB/s", "15 MB; 290 MB before, each instance having one"),
		newRow("calls to the store in 49 s, before", Measured, base, "%.0f", b.get("fleet_base_calls")),
		newRow("requests served, before", Measured, base, "%.1f %%", b.get("fleet_base_served_pct")),
		newRow("processor time in the mean, before", Measured, base, "%.2f %% of a core", b.get("fleet_base_cpu_pct")),
		newRow("memory and descriptors at most, before", Measured, base, "%.1f MB, %.0f", b.get("fleet_base_rss_mb"), b.get("fleet_base_files")),
	}
}
