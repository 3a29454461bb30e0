package capacity

import "math"

// largestSweep is the number of instances of the largest day that was played.
const largestSweep = 300.0

// carried returns a figure of the largest day carried on to the size of two years on, by the power with which it grew.
func (b *book) carried(name string) float64 {
	return b.get(name+"_300") * math.Pow(daemons/largestSweep, b.get(name+"_power"))
}

// sizes returns a row with the busiest instance of each size, and one that carries it on.
func (b *book) sizes(quantity, name, unit string) []Row {
	const at = "sweep, the busiest of 30, 100 and 300 instances with ten servers each; the day of 300 was given up at 15.4 s"
	return []Row{
		row(quantity, Measured, at, "%.4g / %.4g / %.4g %s", b.get(name+"_30"), b.get(name+"_100"), b.get(name+"_300"), unit),
		row(quantity+" at 410", WorkedOut, "the power between these sizes", "%.4g %s", b.carried(name), unit),
	}
}

// hosted is the instance in front of a platform's own servers; its busiest is the relay of a domain.
func (b *book) hosted() Role {
	rows := b.sizes("processor time", "sweep_cpu_pct", "% of a core")
	rows = append(rows, b.sizes("memory", "sweep_rss_mb", "MB")...)
	rows = append(rows, b.sizes("bytes", "sweep_kb_s", "kB/s")...)
	rows = append(rows, b.sizes("connections", "sweep_conns", "open")...)
	rows = append(rows,
		row("bytes of the middle instance at 300", Measured, "the same day", "%.0f kB/s", b.get("sweep_kb_s_middle_300")),
		row("configuration in force at 300, longest", Measured, "the same day", "%.0f ms", b.get("sweep_in_force_ms_300")),
		row("serving again after the end of all, 30 / 100 / 300", Measured, "the same days", "%.1f / %.1f / %.1f s",
			b.get("sweep_serving_ms_30")/1000, b.get("sweep_serving_ms_100")/1000, b.get("sweep_serving_ms_300")/1000),
	)
	return Role{
		name: "Instance of jxd serve (one relay in each domain)", mechanism: "relay, follow, census, forward", rows: rows,
		twice: "the relay's bytes, which grow with instances times servers; that each follower reads all servers at a start and hears each" +
			" change of them would explain it and is not traced. At 300 instances and 3,000 servers it is over its memory already.",
		tenfold: "the same; followers of a domain would have to pass on to others what they hear.",
	}
}
