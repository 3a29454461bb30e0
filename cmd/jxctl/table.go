package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"junctioncross/loadview"
)

// writeTable writes a title and n rows under a head; without rows it writes nothing.
func writeTable(out io.Writer, title, head string, n int, rowOf func(int) string) error {
	if n == 0 {
		return nil
	}
	fmt.Fprintln(out, title+":")
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  "+head)
	for i := range n {
		fmt.Fprintln(w, "  "+rowOf(i))
	}
	return w.Flush()
}

// row joins the cells of a row.
func row(cells ...string) string { return strings.Join(cells, "\t") }

// name returns the cell for a name.
func name(s string) string { return cell(s, nameWidth) }

// domain returns the cell for the name of a failure domain.
func domain(s string) string { return cell(s, domainWidth) }

// cell returns a text in at most width characters; an empty one is shown as a dash.
func cell(s string, width int) string {
	if s == "" {
		return "-"
	}
	return clip(s, width)
}

// clip bounds a text to width characters and replaces those that are not printable, since it comes from other machines.
func clip(s string, width int) string {
	out := []rune(strings.ToValidUTF8(s, "?"))
	if len(out) > width {
		out = append(out[:width-1], '…')
	}
	for i, r := range out {
		if !unicode.IsPrint(r) {
			out[i] = '?'
		}
	}
	return string(out)
}

func number(n float64) string { return fmt.Sprintf("%.0f", n) }

func rate(n float64) string { return fmt.Sprintf("%.1f", n) }

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

// span returns a time in milliseconds as text: in seconds, or in minutes from ten minutes on; 0 is shown as a dash.
func span(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	switch {
	case ms == 0:
		return "-"
	case d < 10*time.Second:
		return fmt.Sprintf("%.1fs", d.Seconds())
	case d < 10*time.Minute:
		return fmt.Sprintf("%.0fs", d.Seconds())
	default:
		return fmt.Sprintf("%.0fm", d.Minutes())
	}
}

// gaps names the layers without a holder.
func gaps(c *loadview.Coverage) string {
	if c.LayersWithoutHolder == 0 {
		return "-"
	}
	var ranges []string
	for _, l := range c.WithoutHolder[:min(len(c.WithoutHolder), maxRanges)] {
		ranges = append(ranges, l.String())
	}
	if len(c.WithoutHolder) > maxRanges {
		ranges = append(ranges, "…")
	}
	return fmt.Sprintf("%d: %s", c.LayersWithoutHolder, strings.Join(ranges, " "))
}
