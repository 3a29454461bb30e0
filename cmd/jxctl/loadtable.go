package main

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"junctioncross/loadview"
)

const (
	// nameWidth, domainWidth and listWidth bound the cells of a table, and lineWidth all lines, in characters.
	nameWidth   = 20
	domainWidth = 14
	listWidth   = 36
	lineWidth   = 130
	// maxRanges is the number of ranges of layers that a line names.
	maxRanges = 2
)

// writeLoad writes tables of what instances know of the load, in lines of at most lineWidth columns.
func writeLoad(out io.Writer, f *loadview.Fleet) error {
	var text bytes.Buffer
	if err := writeFleet(&text, f); err != nil {
		return err
	}
	for line := range strings.Lines(text.String()) {
		if _, err := fmt.Fprintln(out, clip(strings.TrimRight(line, " \n"), lineWidth)); err != nil {
			return errors.Wrap(err, "jxctl: print load")
		}
	}
	return nil
}

// writeFleet writes which instances answered, the tables of each service and the findings.
func writeFleet(out io.Writer, f *loadview.Fleet) error {
	fmt.Fprintf(out, "%d of %d instances answered\n", f.Answered, f.Asked)
	for _, one := range f.Failed {
		fmt.Fprintf(out, "no answer from %s: %s\n", one.Address, strings.ReplaceAll(one.Error, "\n", " "))
	}
	for i := range f.Services {
		if err := writeService(out, &f.Services[i]); err != nil {
			return err
		}
	}
	return writeTable(out, "findings of other instances", "SERVER\tFINDING\tFOUND BY\tAGE\tSERVICE", len(f.Findings), func(i int) string {
		one := &f.Findings[i]
		return row(name(one.Server), name(one.Kind), name(one.Source), span(one.AgeMS), name(one.Service))
	})
}

// writeService writes the tables of one service.
func writeService(out io.Writer, s *loadview.MergedService) error {
	fmt.Fprintf(out, "\nservice %s\n", name(s.Service))
	if err := writeDomains(out, s); err != nil {
		return err
	}
	if err := writeClasses(out, s); err != nil {
		return err
	}
	writeAdmission(out, s)
	if err := writeInstances(out, s); err != nil {
		return err
	}
	asked := len(s.Instances)
	return writeTable(out, "servers out of use", "SERVER\tDOMAIN\tREASON\tSINCE\tLEFT\tSILENT TO\tOUT OF USE FOR", len(s.OutOfUse), func(i int) string {
		one := &s.OutOfUse[i]
		seenBy := fmt.Sprintf("%d of %d: %s", len(one.SeenBy), asked, strings.Join(one.SeenBy[:min(len(one.SeenBy), 2)], ", "))
		return row(name(one.Server.Server), domain(one.Domain), name(one.Reason), span(one.SinceMS), span(one.LeftMS), name(one.Silent), clip(seenBy, listWidth))
	})
}

// writeDomains writes the load and the servers of each domain.
func writeDomains(out io.Writer, s *loadview.MergedService) error {
	const head = "DOMAIN\tROOM\tUNDER WAY\tWAITING\tTOLD\tLIFETIME\tINSTANCES\tAGE\tUSABLE\tENTRY ROOM\tWITHOUT HOLDER"
	return writeTable(out, "load by domain", head, len(s.Domains), func(i int) string {
		d := &s.Domains[i]
		coverage := row(fmt.Sprintf("%d/%d", d.Coverage.Usable, d.Coverage.Servers), number(d.Coverage.Room), gaps(&d.Coverage))
		if !d.TotalsKnown {
			return row(domain(d.Domain), "not known", "", "", "", "", "", "", coverage)
		}
		return row(
			domain(d.Domain), number(d.Room), fmt.Sprint(d.UnderWay), fmt.Sprint(d.Waiting), fmt.Sprint(d.ToldToReturn),
			span(d.LifetimeMS), fmt.Sprint(d.Instances), span(d.AgeMS), coverage,
		)
	})
}

// classRow is a class with its domain.
type classRow struct {
	domain string
	class  *loadview.Class
}

// writeClasses writes the rates of each class, with what the instance admits of it.
func writeClasses(out io.Writer, s *loadview.MergedService) error {
	var rows []classRow
	for i := range s.Domains {
		for j := range s.Domains[i].Classes {
			rows = append(rows, classRow{s.Domains[i].Domain, &s.Domains[i].Classes[j]})
		}
	}
	const head = "DOMAIN\tRANK\tACCOUNT\tOFFERED/S\tREFUSED/S\tRETURNED/S\tADMITTED\tOF RETURNED"
	return writeTable(out, "requests by class (rank: priority of the account, of the route)", head, len(rows), func(i int) string {
		c, first, returned := rows[i].class, "-", "-"
		if c.Level != nil {
			first, returned = percent(c.Level.First), percent(c.Level.Returned)
			if c.Level.Ceiling {
				first += " ceiling"
			}
		}
		return row(
			domain(rows[i].domain), fmt.Sprintf("%d.%d", c.Rank.Account, c.Rank.Route), name(c.Account),
			rate(c.Offered), rate(c.Refused), rate(c.Returned), first, returned,
		)
	})
}

// writeInstances writes what each instance says of itself.
func writeInstances(out io.Writer, s *loadview.MergedService) error {
	const head = "INSTANCE\tDOMAIN\tUNDER WAY\tWAITING\tTOLD\tRETRIES LEFT\tLANES\tOWN\tOTHERS\tCROSSING\tLEVELS"
	return writeTable(out, "instances (room of their lanes in the own domain, in others, and crossing)", head, len(s.Instances), func(i int) string {
		p := &s.Instances[i]
		levels := "all admitted"
		switch {
		case !p.Admission.TotalsKnown:
			levels = "not decided"
		case len(p.Admission.Levels) > 0:
			levels = lowest(p.Admission.Levels)
		}
		return row(
			name(p.Instance), domain(p.Domain), fmt.Sprint(p.Own.UnderWay), fmt.Sprint(p.Own.Waiting), fmt.Sprint(p.Own.ToldToReturn),
			rate(p.Retries.Left), fmt.Sprint(p.Lanes.Lanes), fmt.Sprint(p.Lanes.Own), fmt.Sprint(p.Lanes.Others),
			fmt.Sprint(p.Lanes.Crossing), levels,
		)
	})
}

// lowest names the rank of which the smallest share of first tries is admitted, and that share.
func lowest(levels []loadview.RankLevel) string {
	least := &levels[0]
	for i := range levels {
		if levels[i].First < least.First {
			least = &levels[i]
		}
	}
	return fmt.Sprintf("%d.%d: %s", least.Rank.Account, least.Rank.Route, percent(least.First))
}
