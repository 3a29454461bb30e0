package plan

import (
	"fmt"

	"junctioncross/intent"
)

// Compare describes, one line each, how the throughput bounds of the models and the shares of the groups differ between two
// documents.
func Compare(before, after *intent.Document) []string {
	var out []string
	for _, m := range after.Models {
		rateBefore, rateAfter := ThroughputBound(before, m.Name), ThroughputBound(after, m.Name)
		if rateBefore != rateAfter {
			out = append(out, fmt.Sprintf("model %s: bound %.0f -> %.0f tokens a second", m.Name, rateBefore, rateAfter))
		}
	}
	total := 0.0
	for _, g := range after.Groups {
		total += g.Weight
	}
	for _, g := range after.Groups {
		old := before.Group(g.Name)
		if old == nil || old.Weight != g.Weight {
			out = append(out, fmt.Sprintf("group %s: share %.1f%%", g.Name, 100*g.Weight/total))
		}
	}
	return out
}
