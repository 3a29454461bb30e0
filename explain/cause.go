package explain

import (
	"maps"
	"slices"
	"strings"
)

// cause returns a sentence on why the request ended as it did.
func cause(own []Line) string {
	last := own[len(own)-1]
	held := last.Text("held_ms")
	switch last.message {
	case "finished":
		if last.Text("outcome") == "whole" {
			return "none: the answer was passed on whole after " + held + " ms" + problems(own)
		}
		return "the caller disconnected after " + held + " ms" + problems(own)
	case "stream cut by the caller":
		return "the caller disconnected after " + held + " ms and " + last.Text("tokens") + " tokens" + problems(own)
	case "refused":
		return refusal(last) + problems(own)
	case "denied":
		return "the configuration in force (version " + last.Text("config") + ", confirmed " + last.Text("config_age_ms") +
			" ms before) does not allow it: " + last.Text("reason")
	case "broken off":
		return brokenOff(last) + problems(own)
	case "given up":
		return "it may have run, and was given up: " + last.Text("reason") + problems(own)
	case "failure passed on":
		return "the server itself failed: " + last.Text("reason") + problems(own)
	default:
		return "unknown: the last line is \"" + last.message + "\"; the log has no line on its end (dropped, or the instance died)"
	}
}

// brokenOff returns why a stream that had begun could not be resumed.
func brokenOff(last Line) string {
	if tokens := last.Text("tokens"); tokens != "" {
		return "the stream broke after " + tokens + " tokens and could not be continued: " + last.Text("reason") + " (" + last.Text("error") + ")"
	}
	text := "the stream broke after event " + last.Text("last_event") + " and could not be continued"
	why, ok := resumeObstacles[last.Text("last_attempt")]
	if !ok {
		why = last.Text("last_attempt")
	}
	if why != "" {
		text += ": " + why
	}
	if runs := last.Text("runs"); runs != "" {
		text += " (ran on " + runs + " servers, " + last.Text("most_runs") + " allowed at once; no event for " + last.Text("still_ms") +
			" ms, callers wait " + last.Text("patience_ms") + " ms)"
	}
	return text
}

// resumeObstacles says, by reason, why a stream that had begun was not resumed.
var resumeObstacles = map[string]string{
	"no_room":             "no path had room for it",
	"attempts_used_up":    "it may still be running on as many servers as it is allowed to",
	"repeat_budget_spent": "the instance's share of the retry budget was spent",
	"repeat_budget_kept":  "the retries that were left were kept for requests that are more urgent or not yet late",
	"broken_answer":       "its last server's answer broke",
	"refused_by_backend":  "the last server that it was sent to refused it",
	"unreachable":         "no connection to a server could be opened",
	"quarantined":         "several servers terminated while they ran it",
	"part_quarantined":    "several servers terminated while they ran requests with the same part of the prompt",
}

// refusalCauses says, by reason, why a request was refused.
var refusalCauses = map[string]string{
	"no_room":             "every path that the instance knew had no memory left for it",
	"refused_by_backend":  "each server that it was sent to refused it",
	"repeat_budget_spent": "a server refused it and the instance's share of the retry budget was spent",
	"repeat_budget_kept":  "a server refused it and the retries that were left were kept for requests that are more urgent or not yet late",
	"keys_unconfirmed":    "the instance had not been able to confirm for too long that keys were still valid",
	"no_configuration":    "the instance had no configuration, or one that was too old to deny the request by",
	"draining":            "the instance was stopping and would not have finished it",
	"no_server":           "no server of the service could be used",
	"unreachable":         "no connection to a server could be opened",
	"quarantined":         "several servers had terminated while they ran the request in earlier attempts",
	"part_quarantined":    "several servers had terminated while they ran requests with the same part of the prompt",
	"overloaded":          "the predicted wait for admission was longer than the settings allow",
	"no_pipeline":         "no path of usable servers held every layer of the model",
	"claim_unavailable":   "its key could not be claimed",
	"claim_unsure":        "it was not known whether its key was claimed",
}

func refusal(last Line) string {
	text, ok := refusalCauses[last.Text("reason")]
	if !ok {
		text = last.Text("reason")
	}
	state := "it has not run: "
	switch last.Text("fate") {
	case "unknown":
		state = "it may have run, and was given up: "
	case "ran":
		state = "a request with its key has run before: "
	}
	return state + text + " (" + strings.Join(refusalState(last), "; ") + ")"
}

// refusalState returns the configuration and the times that a refusal was based on.
func refusalState(last Line) []string {
	var out []string
	if config := last.Text("config"); config != "" {
		text := "configuration " + config
		if age := last.Text("config_age_ms"); age != "" {
			text += ", confirmed " + age + " ms before"
		}
		out = append(out, text)
	}
	out = append(out, "held "+last.Text("held_ms")+" ms")
	if after := last.Text("retry_after_ms"); after != "" && after != "0" {
		out = append(out, "told to retry after "+after+" ms")
	}
	return out
}

// problems lists what went wrong before the end of the request.
func problems(own []Line) string {
	var out []string
	for _, l := range own[:len(own)-1] {
		if text := problem(l); text != "" {
			out = append(out, text)
		}
	}
	if len(out) == 0 {
		return ""
	}
	return "; on the way: " + strings.Join(out, ", ")
}

// backOff returns the back-off that a server asked for when it refused a request, if it did.
func backOff(l Line) string {
	if ms := l.Text("retry_after_ms"); ms != "" && ms != "0" {
		return ", which asked for a back-off of " + ms + " ms"
	}
	return ""
}

// problem describes what went wrong according to a line; it returns an empty text for other lines.
func problem(l Line) string {
	switch l.message {
	case "turned away":
		return "refused by " + l.Text("server") + " with status " + l.Text("status") + backOff(l)
	case "attempt broken":
		return "the answer of " + l.Text("server") + " broke (" + l.Text("error") + ")"
	case "stage failed":
		return l.Text("server") + " failed in attempt " + l.Text("attempt") + " (" + l.Text("error") + ")"
	case "first part is silent":
		return "first server " + l.Text("server") + " fell silent" + resumedOn(l)
	case "handed over":
		return "left " + l.Text("server") + ", which was leaving or dropped its layers" + resumedOn(l)
	case "waits to go on":
		return "had to wait before it could be resumed: " + resumeObstacles[l.Text("reason")]
	case "room would come too late":
		return "room was not likely to come in time (" + l.Text("likelihood") + " for " + l.Text("places") + " places in " + l.Text("left_ms") + " ms)"
	case "waited for room":
		return roomWait(l)
	case "repaired":
		return "path repaired after " + l.Text("still_ms") + " ms without an event"
	case "not repaired":
		return "a repair was refused (" + l.Text("error") + ")"
	case "evacuated":
		return "path changed to avoid leaving servers"
	case "not evacuated":
		return "a path without the leaving servers was refused (" + l.Text("error") + ")"
	case "no path for a repair":
		return "no path for a repair"
	case "server ended under a request":
		return l.Text("server") + " terminated while it ran the request (" + l.Text("ends") + " in all)"
	case "request proved harmless":
		return "a server ran the request without terminating"
	case "no repeat":
		return "no retry: " + l.Text("reason")
	default:
		return ""
	}
}

// resumedOn returns on which server a stream that left its first server resumed, if the line says so.
func resumedOn(l Line) string {
	if next := l.Text("next"); next != "" {
		return ", resumed on " + next
	}
	return ""
}

func roomWait(l Line) string {
	text := "waited " + l.Text("waited_ms") + " ms for room"
	if l.Text("came") != "true" {
		return text + " and got none"
	}
	return text
}

// listByName returns a heading and the texts with their names, sorted by name; it returns an empty text if there are none.
func listByName(heading string, texts map[string]string) string {
	if len(texts) == 0 {
		return ""
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		out = append(out, name+" ("+texts[name]+")")
	}
	return heading + strings.Join(out, ", ")
}
