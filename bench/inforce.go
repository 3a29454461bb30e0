package bench

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"junctioncross/fleet"
	"junctioncross/revision"
)

// inForceMessage is the message that an instance logs when a revision comes into force.
const inForceMessage = "configuration in force"

// logLine holds the fields of an instance's log line that are read here.
type logLine struct {
	Message  string          `json:"msg"`
	Revision revision.Number `json:"revision"`
	Time     time.Time       `json:"time"`
}

// inForceTimes returns the lines of an instance's log that say when each revision came into force.
func inForceTimes(f *fleet.Fleet, e *fleet.Entry) ([]logLine, error) {
	file, err := os.Open(filepath.Join(f.Dir(), e.Name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "bench: log")
	}
	defer file.Close()
	var out []logLine
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Message == inForceMessage {
			out = append(out, l)
		}
	}
	return out, lines.Err()
}

// delaysOf returns, for each change and instance, the time until its revision or a later one was in force. missing counts
// the pairs without one. If domains are given, only instances of the first of them count.
func delaysOf(f *fleet.Fleet, changes []acceptedChange, domains []string) (delays []time.Duration, missing int, err error) {
	for _, e := range f.Entries() {
		if len(domains) > 0 && e.Domain != domains[0] {
			continue
		}
		lines, err := inForceTimes(f, e)
		if err != nil {
			return nil, 0, err
		}
		for _, a := range changes {
			d, ok := delayOf(lines, a)
			if !ok {
				missing++
				continue
			}
			delays = append(delays, d)
		}
	}
	return delays, missing, nil
}

// delayOf returns the delay of one change on the instance whose log lines are given. ok is false if it did not come into force.
func delayOf(lines []logLine, a acceptedChange) (time.Duration, bool) {
	for _, l := range lines {
		if l.Revision >= a.revision {
			return max(l.Time.Sub(a.at), 0), true
		}
	}
	return 0, false
}

// countReverts counts how often an instance put a revision into force that was not newer than the one before it.
func countReverts(f *fleet.Fleet) (int, error) {
	reverts := 0
	for _, e := range f.Entries() {
		lines, err := inForceTimes(f, e)
		if err != nil {
			return 0, err
		}
		for i := 1; i < len(lines); i++ {
			if lines[i].Revision <= lines[i-1].Revision {
				reverts++
			}
		}
	}
	return reverts, nil
}
