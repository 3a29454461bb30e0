package forward

import (
	"fmt"
	"math"
	"strings"
	"time"

	"junctioncross/admission"
	"junctioncross/catalog"
	"junctioncross/decision"
	"junctioncross/demand"
)

// logAdmission logs what is in force for a service, and why.
func (h *Handler) logAdmission(service string, plan *admissionPlan, version int64) {
	h.record.Log().WithFields(decision.Fields{
		"service": service, "ranks": plan.settings.Ranks, "accounts": plan.settings.Accounts, "parts": len(plan.settings.Parts),
		"unlike": plan.ranksDiffer, "priorities": plan.priorities, "version": version,
	}).Info("admission in force")
}

// logUnusableParts logs the requests for parts of the room that the configuration cannot follow.
func (h *Handler) logUnusableParts(c *catalog.Catalog, s *AdmissionSettings) {
	for i := range s.Parts {
		if p, unusable := checkPart(c, i, &s.Parts[i]); unusable {
			h.record.Log().WithFields(decision.Fields{"field": p.field, "name": p.name, "reason": p.why}).Error("part of the room not in force")
		}
	}
}

// logTotals logs that the load on a service is known now, or no longer.
func (h *Handler) logTotals(service string, known bool) {
	h.record.Log().WithFields(decision.Fields{"service": service, "known": known}).Info("admission totals")
}

// logLevelsLocked logs the levels of a service if one of them has changed by levelLogStep or more since the latest line.
func (h *Handler) logLevelsLocked(service string, s *serviceAdmission, now time.Time) {
	if !changedMuch(s.levels, s.logged) || !h.admissions.levelLog.Allow(service, now) {
		return
	}
	s.logged = append(s.logged[:0], s.levels...)
	h.record.Log().WithFields(decision.Fields{"service": service, "levels": describeLevels(s.levels)}).Info("admission levels")
}

// changedMuch reports whether a level differs by levelLogStep or more from the one that was logged, or from 1 if none was.
func changedMuch(levels, logged []admission.Level) bool {
	for i := range levels {
		former := 1.0
		for j := range logged {
			if logged[j].Rank == levels[i].Rank {
				former = logged[j].First
			}
		}
		if math.Abs(levels[i].First-former) >= levelLogStep {
			return true
		}
	}
	return len(levels) == 0 && len(logged) > 0
}

// describeLevels returns a text such as 0.0=1.00/1.00 1.1=0.35/0.00: for each rank the shares of first tries and of returning
// callers that are admitted.
func describeLevels(levels []admission.Level) string {
	var out []string
	for i := range min(len(levels), maxRankLabels) {
		out = append(out, fmt.Sprintf("%s=%.2f/%.2f", rankLabel(levels[i].Rank), levels[i].First, levels[i].Returned))
	}
	return strings.Join(out, " ")
}

// label returns the label of a rank in metrics.
func (s *serviceAdmission) label(rank demand.Rank) string {
	if l := s.labels[rank]; l != "" {
		return l
	}
	if len(s.labels) >= maxRankLabels {
		return otherRanks
	}
	l := rankLabel(rank)
	s.labels[rank] = l
	return l
}

// rankLabel returns the priorities of the account and of the route, such as 1.2.
func rankLabel(rank demand.Rank) string { return fmt.Sprintf("%d.%d", rank.Account, rank.Route) }

func levelGauge(service, rank string) string {
	return fmt.Sprintf("admission_level_percent{service=%q,rank=%q}", service, rank)
}

func refusedCounter(service, rank string, reason admission.Reason) string {
	return fmt.Sprintf("admission_refused_total{service=%q,rank=%q,reason=%q}", service, rank, string(reason))
}
