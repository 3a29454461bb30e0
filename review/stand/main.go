package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestPlay bounds a case; one that takes longer could not run.
const longestPlay = 100 * time.Second

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

// play is one case; with trouble false it plays the same without the disruption.
type play func(s *site, trouble bool) (verdict, error)

// plays holds the cases by name.
var plays = map[string]play{"multipart": playMultipart, "stop": playStop, "unframed": playUnframed}

func main() {
	if len(os.Args) == 3 && os.Args[1] == serverCommand {
		os.Exit(runServer(os.Args[2]))
	}
	os.Exit(run(os.Args[1:]))
}

// run plays the case that the first argument names and returns the exit code; the second argument is the folder for the record.
func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		names := make([]string, 0, len(plays))
		for name := range plays {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: stand CASE FOLDER; cases: %s\n", strings.Join(names, ", "))
		return exitNotRun
	}
	out, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.close()
	trouble := os.Getenv("TROUBLE") != "0"
	out.line("case %s, disruption %t", args[0], trouble)
	v, err := playOn(out, plays[args[0]], trouble)
	switch {
	case err != nil:
		out.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case v.broken:
		out.line("broken: %s", v.text)
		fmt.Println("broken:", v.text)
		return exitBroken
	}
	out.line("held: %s", v.text)
	fmt.Println("held:", v.text)
	return exitHeld
}

// result is the outcome of a play.
type result struct {
	verdict verdict
	err     error
}

// playOn plays a case on a new site, and ends all processes of the site, also if the case is interrupted or takes too long.
func playOn(out *record, p play, trouble bool) (verdict, error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	s, err := newSite(out)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	results := make(chan result, 1)
	go func() {
		v, err := p(s, trouble)
		results <- result{v, err}
	}()
	select {
	case r := <-results:
		return r.verdict, r.err
	case got := <-signals:
		return verdict{}, fmt.Errorf("interrupted by %v", got)
	case <-time.After(longestPlay):
		return verdict{}, fmt.Errorf("not finished after %v", longestPlay)
	}
}
