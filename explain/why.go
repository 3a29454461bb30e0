package explain

import (
	"fmt"
	"io"
	"time"
)

// beliefWindow is how long before the first line about a request a belief about its servers or paths counts as relevant to it.
const beliefWindow = 5 * time.Second

// Why writes the lines about one request, the relevant beliefs of its instances, and a sentence on the cause of its outcome. It
// reports whether there is any line about the request.
//
// Times of different instances are compared without correction: the clock of an instance may be off by some seconds.
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

// Timeline writes the lines of an instance that are about no request; it reports whether there are any.
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
