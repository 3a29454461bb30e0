package capacity

import "fmt"

// Basis tells how a value was obtained.
type Basis string

// Measured values come from a benchmark, WorkedOut ones from the formula in their row, and Assumed ones stand for what the
// users have not stated.
const (
	Measured  Basis = "measured"
	WorkedOut Basis = "worked out"
	Assumed   Basis = "assumed"
)

// Row is one row of a role's table.
type Row struct {
	quantity string
	value    string
	basis    Basis
	// how names the benchmark or gives the formula.
	how string
}

// Role is one task of the instances, with the packages that implement it and its costs.
type Role struct {
	name      string
	mechanism string
	rows      []Row
	// twice and tenfold tell what fails first at twice and at ten times the design size.
	twice   string
	tenfold string
}

// pageBuilder makes the parts of the page from the figures. err is the error for the first missing figure.
type pageBuilder struct {
	figures *Figures
	err     error
}

// get returns a figure, or zero if it is missing.
func (b *pageBuilder) get(name string) float64 {
	v, err := b.figures.Get(name)
	if err != nil && b.err == nil {
		b.err = err
	}
	return v
}

func newRow(quantity string, basis Basis, how, format string, args ...any) Row {
	return Row{quantity: quantity, value: fmt.Sprintf(format, args...), basis: basis, how: how}
}

func (b *pageBuilder) roles() []Role {
	return []Role{b.requestPath(), b.member(), b.relay(), b.claimWriter(), b.leader(), b.planner(), b.operators(), b.hosted()}
}

func (b *pageBuilder) requestPath() Role {
	perCore := b.get("tokens_per_core_s") * measuredStages / stagesPerReplica
	return Role{
		name: "Request path (every daemon)", mechanism: "entry, admit, share, route, pipeline, engine, pool",
		rows: []Row{
			newRow("requests a second", WorkedOut, "5,500 / 410", "%.1f", requestsPerSecond/instances),
			newRow("tokens a second", WorkedOut, "2.1 M / 410", "%.0f", tokensPerInstance),
			newRow("tokens a core and second, 2 stages", Measured, "tokens_per_core_s, bench-throughput, 3 instances at saturation", "%.0f", b.get("tokens_per_core_s")),
			newRow("cores at 4 stages", WorkedOut, "tokens a second / (tokens a core x 2 / 4): the cost is taken to grow with the frames", "%.1f", tokensPerInstance/perCore),
			newRow("sequences under way", WorkedOut, "tokens a second x 56 ms between tokens", "%.0f", tokensPerInstance*tokenGapSeconds),
			newRow("token ids held", WorkedOut, "sequences x (300 prompt tokens assumed + 382 generated) x 8 B", "%.1f MB", tokensPerInstance*tokenGapSeconds*(promptTokens+answerTokens)*8/1e6),
			newRow("activations through the daemon", WorkedOut, "tokens x (stages - 1) x 16 KiB assumed, in and out", "%.0f MB/s", 2*tokensPerInstance*(stagesPerReplica-1)*activationBytes/1e6),
			newRow("one route choice", Measured, "BenchmarkChoose, 80 servers, bench-decisions", "%.0f ns", b.get("choose_ns_80")),
			newRow("one admission, 20,000 accounts waiting", Measured, "BenchmarkAdmission, bench-decisions", "%.0f ns", b.get("admission_ns_20000")),
			newRow("one share update, 20,000 accounts waiting", Measured, "BenchmarkShareUpdate, bench-decisions", "%.0f ns", b.get("share_update_ns_20000")),
			newRow("key-value calls", WorkedOut, "none but claims", "0"),
		},
		twice:   "the activations: every boundary between stages crosses the daemon. Engines that pass frames along a given route would take them off it; that is not built, and whether the users' engines can is not known.",
		tenfold: "the same, and the cores for frames: 4 stages make four frames of each token.",
	}
}

func (b *pageBuilder) member() Role {
	cpu := b.get("control_cpu_pct_" + measuredInstances)
	return Role{
		name: "Member (every daemon)", mechanism: "control, gossip, link, member, revision, view",
		rows: []Row{
			newRow("instances of a domain", WorkedOut, "410 / 7", "%.0f", instancesPerDomain),
			newRow("backend servers of a domain", WorkedOut, "600 x 4 stages assumed / 7", "%.0f", serversPerDomain),
			newRow("processor time", Measured, "control_cpu_pct_64, bench-control, 64 instances and 343 servers", "%.2f %% of a core", cpu),
			newRow("memory of the whole process, idle", Measured, "control_rss_mb_64, bench-control, program text included", "%.0f MB", b.get("control_rss_mb_"+measuredInstances)),
			newRow("configuration of 20,000 accounts", Measured, "config_state_mb_20000, bench-state", "%.1f MB", b.get("config_state_mb_20000")),
			newRow("slope of the configuration", WorkedOut, "(20,000 - 5,000 accounts), bench-state", "%.0f B an account", (b.get("config_state_mb_20000")-b.get("config_state_mb_5000"))*1e6/15_000),
			newRow("bytes sent and received", Measured, "control_bytes_s_64, bench-control, headers included", "%.1f KB/s", b.get("control_bytes_s_"+measuredInstances)/1000),
			newRow("polls of servers", WorkedOut, "343 x 2 pollers / 59 instances / 1.2 s", "%.1f a second", serversPerDomain*2/instancesPerDomain/1.2),
			newRow("applying a change, 20,000 accounts", Measured, "config_apply_ms_20000, bench-state: all segments decoded anew", "%.0f ms", b.get("config_apply_ms_20000")),
			newRow("processor time for 850 changes a day", WorkedOut, "850 x that / 86,400 s", "%.4f %% of a core", changesPerDay*b.get("config_apply_ms_20000")/1000/secondsPerDay*100),
		},
		twice:   "memory; then bytes: digests name every instance of the domain, so that their bytes grow with its instances.",
		tenfold: "digests and statements of 590 instances and 3,430 servers in each domain; a domain would have to be cut into groups.",
	}
}

func (b *pageBuilder) relay() Role {
	watches := 2 * domains
	return Role{
		name: "Relay (2 in each domain)", mechanism: "control (watch, askOthers), revision",
		rows: []Row{
			newRow("key-value calls, idle, all domains", WorkedOut, "kv_calls_s_64 x 7, leases of the leaders included", "%.1f a second", b.get("kv_calls_s_"+measuredInstances)*domains),
			newRow("slope over instances", Measured, "kv_calls_s_slope, bench-control, 8 to 128 instances of one domain", "%.4f calls/s an instance", b.get("kv_calls_s_slope")),
			newRow("waiting watches", WorkedOut, "2 x 7", "%.0f", watches),
			newRow("reads for 850 changes a day", WorkedOut, "850 x 14 relays x (head + 2 segments) / 86,400 s", "%.2f a second", changesPerDay*watches*3/secondsPerDay),
			newRow("in force on 105 instances, p50 / p99 / max", Measured, "bench-config, 7 domains of 15", "%.0f / %.0f / %.0f ms", b.get("config_in_force_ms_p50"), b.get("config_in_force_ms_p99"), b.get("config_in_force_ms_max")),
			newRow("the same while a call takes 400 ms, max", Measured, "bench-config", "%.0f ms", b.get("config_slow_kv_ms_max")),
			newRow("the same in a domain cut from the service, max", Measured, "bench-config", "%.0f ms", b.get("config_kv_cut_ms_max")),
			newRow("catching up after 20 s apart, max", Measured, "bench-config", "%.0f ms", b.get("catch_up_ms_max")),
		},
		twice:   "nothing: calls grow with domains.",
		tenfold: "the fan-out of segments within a domain, each fetched whole from a neighbour.",
	}
}

func (b *pageBuilder) claimWriter() Role {
	perLog := 2 * claimsPerSecond
	return Role{
		name: "Claim writer (one for each partition and domain)", mechanism: "claim (Log, Keeper, Router)",
		rows: []Row{
			newRow("keyed requests a second", Assumed, "2 in 100 of 5,500", "%.0f", claimsPerSecond),
			newRow("records a second", WorkedOut, "a claim and its outcome each; less where several fall into one 10 ms window", "at most %.0f", perLog),
			newRow("reads a second", WorkedOut, "each record is read once by the 6 other domains' writers of its partition", "at most %.0f", perLog*(domains-1)),
			newRow("memory", Assumed, "110 keys a second for a day x 100 B, over 59 instances", "%.0f MB", claimsPerSecond*secondsPerDay*100/instancesPerDomain/1e6),
		},
		twice:   "the service's writes. Records hold what one domain gathers in 10 ms; a longer window trades latency for writes.",
		tenfold: "reads and memory: old keys are kept for good. Checkpoints of the log are not built.",
	}
}

func (b *pageBuilder) leader() Role {
	return Role{
		name: "Leader for orders (one for each domain)", mechanism: "order (Lease, Leader, Decide)",
		rows: []Row{
			newRow("lease writes, all domains", WorkedOut, "7 / 1.5 s", "%.1f a second", domains/1.5),
			newRow("comparisons", WorkedOut, "343 servers, twice a second", "%.0f a second", 2*serversPerDomain),
			newRow("orders on an ordinary day", WorkedOut, "(17 failed + 83 replaced) instances, all taken for servers", "%.0f a day", failedPerDay+replacedPerDay),
		},
		twice:   "nothing.",
		tenfold: "orders are sent one after the other: 3,430 servers that start at once take as many calls.",
	}
}

func (b *pageBuilder) planner() Role {
	return Role{
		name: "Planner (the instance that an operator asks)", mechanism: "plan, intent",
		rows: []Row{
			newRow("placing 35 models on 2,401 servers", Measured, "plan_s, bench-state", "%.2f s", b.get("plan_s")),
			newRow("graphs of one domain, built anew", Measured, "graphs_ms, bench-state", "%.1f ms", b.get("graphs_ms")),
			newRow("largest segment", Measured, "segment_bytes_max_20000, bench-state: the backend servers", "%.0f KB", b.get("segment_bytes_max_20000")/1000),
			newRow("head", Measured, "head_bytes_20000, bench-state", "%.1f KB", b.get("head_bytes_20000")/1000),
		},
		twice:   "nothing; the segment of backend servers reaches 0.8 MB.",
		tenfold: "that segment passes the service's megabyte; it would be cut by domain as accounts are.",
	}
}

func (b *pageBuilder) operators() Role {
	return Role{
		name: "Operators' listener (every daemon)", mechanism: "operator, keys",
		rows: []Row{
			newRow("calls", WorkedOut, "850 changes a day x (intent + plan + confirm)", "%.3f a second", changesPerDay*3/secondsPerDay),
			newRow("key-value writes for them", WorkedOut, "intent, plan, 1 segment, head", "%.3f a second", changesPerDay*4/secondsPerDay),
		},
		twice:   "nothing.",
		tenfold: "nothing; records of old intents, plans and segments are never removed, which is not built.",
	}
}
