package story

import (
	"fmt"
	"io"
	"time"
)

// beliefWindow is how long before the end of a request a change of belief about one of its servers counts as its cause.
const beliefWindow = 5 * time.Second

// Why writes the story of one request and its cause in a sentence; it reports whether there is any line on it.
//
// The times of different instances are compared as they are: an instance's clock may be off by some seconds.
func Why(out io.Writer, lines []Line, request string) bool {
	own := sorted(filter(lines, func(l Line) bool { return l.request == request }))
	if len(own) == 0 {
		return false
	}
	start := own[0].at
	for _, l := range own {
		fmt.Fprintln(out, l.format(start))
	}
	for _, l := range beliefs(lines, own) {
		fmt.Fprintln(out, "  belief "+l.format(start))
	}
	fmt.Fprintln(out, "cause: "+cause(own)+shortage(lines, own))
	return true
}

// Timeline writes what an instance did and believed beside its requests; it reports whether there is any line on it.
func Timeline(out io.Writer, lines []Line, instance string) bool {
	own := sorted(filter(lines, func(l Line) bool { return l.instance == instance && l.request == "" }))
	for _, l := range own {
		fmt.Fprintln(out, l.format(own[0].at))
	}
	return len(own) > 0
}

func filter(lines []Line, keep func(Line) bool) []Line {
	var out []Line
	for _, l := range lines {
		if keep(l) {
			out = append(out, l)
		}
	}
	return out
}
