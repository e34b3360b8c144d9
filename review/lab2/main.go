//go:build review

// Command lab2 holds the stand-ins and the harness of the review's scripts. "lab2 worker"
// is one worker process; "lab2 NAME" plays the case of that name and exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases holds the plays by name.
var cases = map[string]func(l *lab) (broken []string, err error){}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: lab2 worker ... | lab2 CASE FOLDER")
		os.Exit(2)
	}
	if os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	play, known := cases[os.Args[1]]
	if !known || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(runCase(play, os.Args[2]))
}

// runCase plays a case and ends all processes that it started.
func runCase(play func(l *lab) ([]string, error), folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := play(l)
	l.endAll()
	if err != nil {
		l.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, b := range broken {
		l.record("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return 1
	}
	l.record("the rule held")
	fmt.Println("the rule held")
	return 0
}
