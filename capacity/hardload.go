package capacity

// loadRows returns the rows on load reports, admission and layouts of an instance that serves in front of a platform's servers.
func (b *pageBuilder) loadRows() []Row {
	const sizes = "encoded sizes at 87, 295 and 985 instances in 3 domains, TestLoadReportsCostFewBytes"
	return []Row{
		newRow("load reports and totals at a relay", Measured, sizes, "%.0f / %.0f / %.0f kB/s",
			b.get("load_relay_b_s_87")/1000, b.get("load_relay_b_s_295")/1000, b.get("load_relay_b_s_985")/1000),
		newRow("load reports and totals at another instance", Measured, sizes, "%.1f / %.1f / %.1f kB/s",
			b.get("load_instance_b_s_87")/1000, b.get("load_instance_b_s_295")/1000, b.get("load_instance_b_s_985")/1000),
		newRow("totals of a domain of 985 instances, unchanged / a report each ms", Measured, "BenchmarkTotals", "%.0f / %.0f ns",
			b.get("load_totals_ns"), b.get("load_totals_changing_ns")),
		newRow("taking in totals and one decision on admission", Measured, "BenchmarkDecision, 8 classes", "%.0f ns", b.get("admission_ns")),
		newRow("a layout that is not known, 99 / 600 / 3,005 servers", Measured, "BenchmarkPlan, on the leader", "%.0f / %.0f / %.0f ms",
			b.get("layout_first_ms_99"), b.get("layout_first_ms_600"), b.get("layout_first_ms_3005")),
		newRow("a known layout, 3,005 servers", Measured, "BenchmarkPlan, five times a second on the leader", "%.2f ms",
			b.get("layout_known_ms_3005")),
	}
}
