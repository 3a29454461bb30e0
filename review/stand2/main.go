package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// current is the site that is closed when the case cannot go on.
var current *site

func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", values...)
	if current != nil {
		current.record.line("case could not run: "+format, values...)
		current.close()
	}
	os.Exit(notRun)
}

// cases holds the cases by name; each returns whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) bool{
	"memory": memoryCase, "resume": resumeCase, "storm": stormCase, "streamend": streamEndCase, "surplus": surplusCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: stand2 CASE FOLDER")
	}
	s := newSite(newRecord(filepath.Join(os.Args[2], "record.txt")))
	current = s
	trouble := os.Getenv("TROUBLE") != "0"
	s.record.line("case %s, trouble %v", os.Args[1], trouble)
	isBroken := cases[os.Args[1]](s, trouble)
	s.record.line("rule broken: %v", isBroken)
	s.close()
	if isBroken {
		fmt.Println("rule broken")
		os.Exit(broken)
	}
	fmt.Println("rule held")
	os.Exit(held)
}
