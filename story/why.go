package story

import (
	"fmt"
	"io"
	"strings"
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
	fmt.Fprintln(out, "cause: "+cause(own))
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

// beliefs returns the changes of belief of the request's instances about the servers that it was sent to.
func beliefs(lines, own []Line) []Line {
	instances, first, last := map[string]bool{}, own[0].at, own[len(own)-1].at
	var paths strings.Builder
	for _, l := range own {
		instances[l.instance] = true
		paths.WriteString(l.Text("path") + " " + l.Text("server") + " ")
	}
	return sorted(filter(lines, func(l Line) bool {
		server := l.Text("server")
		return l.request == "" && server != "" && instances[l.instance] && strings.Contains(paths.String(), server) &&
			!l.at.Before(first.Add(-beliefWindow)) && !l.at.After(last)
	}))
}

// cause says in one sentence why the request ended as it did.
func cause(own []Line) string {
	last := own[len(own)-1]
	held := last.Text("held_ms")
	switch last.message {
	case "finished":
		if last.Text("outcome") == "whole" {
			return "none: the answer was passed on whole after " + held + " ms" + troubles(own)
		}
		return "the caller left after " + held + " ms" + troubles(own)
	case "refused":
		return refusal(last) + troubles(own)
	case "denied":
		return "the configuration in force (version " + last.Text("config") + ", confirmed " + last.Text("config_age_ms") +
			" ms before) does not allow it: " + last.Text("reason")
	case "broken off":
		return "the stream broke after event " + last.Text("last_event") + " and could not be continued" + troubles(own)
	case "given up":
		return "it may have run, and was given up: " + last.Text("reason") + troubles(own)
	case "failure passed on":
		return "the server itself failed: " + last.Text("reason") + troubles(own)
	default:
		return "the story ends with \"" + last.message + "\"; the log has no line on its end (dropped, or the instance died)"
	}
}

func refusal(last Line) string {
	reasons := map[string]string{
		"no_room":             "every path that the instance knew had no memory left for it",
		"refused_by_backend":  "each server that it was sent to turned it away",
		"repeat_budget_spent": "a server turned it away and the instance's part of the allowed repeats was spent",
		"keys_unconfirmed":    "the instance could not confirm for too long that keys were still valid",
		"no_configuration":    "the instance had no configuration, or one that was too old to say no by",
		"draining":            "the instance was stopping and would not have finished it",
		"no_server":           "no server of the service could be used",
		"unreachable":         "no connection to a server came about",
	}
	text, ok := reasons[last.Text("reason")]
	if !ok {
		text = last.Text("reason")
	}
	return "it has not run: " + text + " (configuration " + last.Text("config") + ", confirmed " + last.Text("config_age_ms") +
		" ms before; held " + last.Text("held_ms") + " ms; asked to come back after " + last.Text("retry_after_ms") + " ms)"
}

// troubles lists what went wrong on the way.
func troubles(own []Line) string {
	var out []string
	for _, l := range own[:len(own)-1] {
		switch l.message {
		case "turned away":
			out = append(out, "turned away by "+l.Text("server")+" with status "+l.Text("status"))
		case "attempt broken":
			out = append(out, "the answer of "+l.Text("server")+" broke ("+l.Text("error")+")")
		case "first part is silent":
			out = append(out, "first part "+l.Text("server")+" fell silent")
		case "repaired":
			out = append(out, "path repaired after "+l.Text("still_ms")+" ms without an event")
		case "not repaired":
			out = append(out, "a repair was refused ("+l.Text("error")+")")
		case "no path for a repair":
			out = append(out, "no path for a repair")
		case "no repeat":
			out = append(out, "no repeat: "+l.Text("reason"))
		}
	}
	if len(out) == 0 {
		return ""
	}
	return "; on the way: " + strings.Join(out, ", ")
}
