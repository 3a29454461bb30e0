package capacity

import (
	"fmt"
	"strings"
)

const head = `# Capacity at the size of two years on

Written by ` + "`make capacity`" + ` from the figures in docs/figures, which the benches named there print; a test fails when this
page and the figures differ. Each value is *measured* (a bench of ours, on one machine of 8 cores with stand-ins),
*worked out* (the formula stands beside it) or *assumed* (the users have not said).

The size: 410 daemons, 600 replicas on 4,800 accelerators of 5 kinds, 5,500 requests and 2.1 million tokens a second, 20,000
client accounts, 35 models, 3 regions with 7 failure domains, 850 configuration changes a day.
`

const tail = `
## Plots

![control per instance over the size of a domain](plots/control.svg)

![configuration over accounts](plots/state.svg)

## To measure again

    make bench-control bench-config bench-throughput bench-recovery bench-state bench-decisions
    make capacity

Each bench writes its figures to docs/figures and runs for about a minute on loopback.
`

// Page returns the text of docs/CAPACITY.md. The error names the first figure that is missing.
func Page(f *Figures) (string, error) {
	b := &pageBuilder{figures: f}
	var out strings.Builder
	out.WriteString(head)
	out.WriteString("\n## Against the limits\n\n")
	writeLimits(&out, b.limits())
	out.WriteString("\n## Roles\n")
	for _, r := range b.roles() {
		writeRole(&out, r)
	}
	writeFaults(&out, b)
	out.WriteString(tail)
	return out.String(), b.err
}

// limit is a value with the maximum that the users allow.
type limit struct {
	name    string
	value   float64
	allowed float64
	unit    string
	how     string
}

func (b *pageBuilder) limits() []limit {
	memory := b.get("control_rss_mb_"+measuredInstances) + b.get("config_state_mb_20000")
	return []limit{
		{"control, processor time", b.get("control_cpu_pct_" + measuredInstances), limitCPU, "% of a core", "measured at 64 instances"},
		{"control, memory", memory, limitMemoryMB, "MB", "whole idle process at 64 instances + configuration of 20,000 accounts"},
		{"control, bytes", b.get("control_bytes_s_" + measuredInstances), limitBytesPerSecond, "B/s", "measured at 64 instances"},
		{"key-value writes", 2*claimsPerSecond + domains/1.5, limitKVWritesPerSecond, "a second", "claims and outcomes, leases; 'some hundred' taken as 300"},
		{"key-value reads", 2*claimsPerSecond*(domains-1) + b.get("kv_calls_s_"+measuredInstances)*domains, limitKVReadsPerSecond, "a second", "claims read by the other domains' writers, watches"},
		{"configuration in force, max", b.get("config_in_force_ms_max"), limitInForceMS, "ms", "measured on 105 instances"},
		{"first token, middle, saturated", b.get("first_ms_p50"), limitFirstMS, "ms", "measured with 260 callers on places for about 170; the wait for a place is most of it"},
		{"between tokens, 95 in 100, saturated", b.get("gap_ms_p95"), limitGapMS, "ms", "measured at saturation on engines with steps of 16 to 26 ms"},
	}
}

func writeLimits(out *strings.Builder, limits []limit) {
	out.WriteString("| limit | value | allowed | margin | how |\n|---|---|---|---|---|\n")
	for _, l := range limits {
		margin := fmt.Sprintf("%.0f %%", 100*(1-l.value/l.allowed))
		if l.value > l.allowed {
			margin = "**none: over**"
		}
		fmt.Fprintf(out, "| %s | %.4g %s | %.4g | %s | %s |\n", l.name, l.value, l.unit, l.allowed, margin, l.how)
	}
}

func writeRole(out *strings.Builder, r Role) {
	fmt.Fprintf(out, "\n### %s\n\nCarried by: %s.\n\n", r.name, r.mechanism)
	out.WriteString("| quantity | value | basis | from |\n|---|---|---|---|\n")
	for _, row := range r.rows {
		fmt.Fprintf(out, "| %s | %s | %s | %s |\n", row.quantity, row.value, row.basis, row.how)
	}
	fmt.Fprintf(out, "\nFirst to break at twice the size: %s\n\nAt ten times: %s\n", r.twice, r.tenfold)
}

// writeFaults writes the table of the faults of an ordinary day and the rare ones, with the requests that each one affects.
func writeFaults(out *strings.Builder, b *pageBuilder) {
	const serversTotal = replicas * stagesPerReplica
	perServer := tokensPerSecond * tokenGapSeconds * stagesPerReplica / serversTotal
	perInstance := tokensPerInstance * tokenGapSeconds
	killed, hung := b.get("recovery_ms_p99"), b.get("recovery_hung_ms_p99")
	out.WriteString("\n## A day's faults\n\n| fault | how often | requests touched | capacity lost | what callers see |\n|---|---|---|---|---|\n")
	lines := []string{
		fmt.Sprintf("| a backend server dies | 17 a day, all instances taken for servers | %.0f answers each (sequences under way x 4 stages / 2,400 servers) | 1 of about %.0f servers of a segment | a pause, at most %.0f ms for the %.0f answers hit in the bench, no loss |",
			perServer, serversPerDomain/35/stagesPerReplica, killed, b.get("recovery_answers_hit")),
		fmt.Sprintf("| a backend server hangs | among the 17 | %.0f answers | the same | a pause, 99 in 100 within %.0f ms of the %.0f answers hit in the bench |", perServer, hung, b.get("recovery_hung_answers_hit")),
		"| a planned replacement | 83 a day | none cut | the server, until its layers are loaded elsewhere | nothing |",
		fmt.Sprintf("| an entry instance dies | among the 17 | %.0f answers under way are cut | 1 of 410 | the connection breaks; a repeat elsewhere is answered in %.0f ms (measured, idle) |", perInstance, b.get("entry_killed_answer_ms")),
		fmt.Sprintf("| a rack or switch | every month or two | 40 servers assumed: %.0f answers | 40 of 2,400 servers | pauses; recomputation of %.0f prompts at once, which is not measured |", 40*perServer, 40*perServer),
		fmt.Sprintf("| a failure domain | once or twice a year | %.0f answers of its own instances are cut | one seventh | callers go to other domains, which refuse what is over their places |", tokensPerSecond*tokenGapSeconds/domains),
		"| regions apart for minutes | several times a year | none | none | each domain serves with its own servers and the configuration it has |",
	}
	out.WriteString(strings.Join(lines, "\n") + "\n")
}
