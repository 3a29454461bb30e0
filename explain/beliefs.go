package explain

import "strings"

// beliefs returns the lines that report what the instances of a request learned, shortly before and during the request, about the
// servers that it was sent to and about the paths of its service. own holds the lines about the request, sorted by time.
func beliefs(lines, own []Line) []Line {
	instances, first, last := map[string]bool{}, own[0].at, own[len(own)-1].at
	servers, services := map[string]bool{}, map[string]bool{}
	for _, l := range own {
		instances[l.instance] = true
		services[l.Text("service")] = true
		for _, part := range strings.Fields(l.Text("path") + " " + l.Text("server") + " " + l.Text("next")) {
			name, _, _ := strings.Cut(part, "[")
			servers[name] = true
		}
	}
	return sorted(filter(lines, func(l Line) bool {
		if !instances[l.instance] || l.at.Before(first.Add(-beliefWindow)) || l.at.After(last) {
			return false
		}
		switch l.message {
		case "lanes":
			return services[l.Text("service")]
		case "path regained":
			return l.request != own[0].request && services[l.Text("service")]
		}
		return l.request == "" && servers[l.Text("server")]
	}))
}

// shortage returns which domains were known to be too small when a request was refused for lack of room. These lines are written
// by the leader, which may be any instance.
func shortage(lines, own []Line) string {
	last := own[len(own)-1]
	if last.message != "refused" || last.Text("reason") != "no_room" {
		return ""
	}
	// After each change, the leader logs the coverage of a domain and then, if the domain is too small, a line that says so.
	short := map[string]string{}
	for _, l := range sorted(lines) {
		if l.at.After(last.at) {
			break
		}
		switch l.message {
		case "coverage":
			delete(short, l.Text("of_domain"))
		case "domain too small for a copy of the model with the usual room":
			short[l.Text("of_domain")] = l.Text("short_layers") + " layers"
		}
	}
	return listByName("; too small for a copy of the model with the usual room: ", short)
}
