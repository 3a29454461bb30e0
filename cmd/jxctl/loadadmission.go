package main

import (
	"fmt"
	"io"
	"slices"

	"junctioncross/loadview"
)

// writeAdmission writes what of the settings of admission is in force and why. Instances that say the same share a line.
func writeAdmission(out io.Writer, s *loadview.MergedService) {
	var lines []string
	count := map[string]int{}
	for i := range s.Instances {
		for _, line := range admissionLines(&s.Instances[i].Admission) {
			if count[line] == 0 {
				lines = append(lines, line)
			}
			count[line]++
		}
	}
	slices.Sort(lines)
	if len(lines) > 0 {
		fmt.Fprintln(out, "settings of admission:")
	}
	for _, line := range lines {
		fmt.Fprintf(out, "  %d of %d instances: %s\n", count[line], len(s.Instances), line)
	}
}

// admissionLines returns a line for each setting.
func admissionLines(a *loadview.Admission) []string {
	lines := []string{settingLine("admission.ranks", a.Ranks), settingLine("admission.accounts", a.Accounts)}
	for i := range a.Parts {
		lines = append(lines, settingLine(partText(&a.Parts[i]), a.Parts[i].Setting))
	}
	return lines
}

// settingLine says whether a setting is in force, and why on a line of its own.
func settingLine(what string, s loadview.Setting) string {
	state := "not in force"
	if s.InForce {
		state = "in force"
	}
	return fmt.Sprintf("%s %s\n    %s", what, state, clip(s.Why, lineWidth))
}

// partText names a request for a part of the room and what it asks for.
func partText(p *loadview.Part) string {
	text := clip(p.Field, nameWidth)
	if p.Route != "" {
		text += " route " + name(p.Route)
	}
	if p.Account != "" {
		text += " account " + name(p.Account)
	}
	if p.Ceiling < 1 {
		text += " ceiling " + percent(p.Ceiling)
	}
	if p.Guarantee > 0 {
		text += " guarantee " + percent(p.Guarantee)
	}
	if p.Weight > 0 {
		text += fmt.Sprintf(" weight %.3g", p.Weight)
	}
	return text
}
