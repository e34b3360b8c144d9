//go:build review

// Command review-lab runs the script cases of the review. "review-lab worker" is the
// stand-in of a plain or model worker; the other commands are one case each. A case
// starts the gateways and the workers as processes of their own on loopback addresses,
// plays the platform's store and the clients itself, and writes record.txt.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

func main() {
	cases := map[string]func(*lab) (broken bool, err error){
		"unlearned-removal": runUnlearnedRemoval,
		"cut-stream":        runCutStream,
	}
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review-lab CASE FOLDER | review-lab worker FLAGS")
		os.Exit(exitNoRun)
	}
	if os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNoRun)
		}
		return
	}
	run, known := cases[os.Args[1]]
	if !known || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "unknown case or no folder")
		os.Exit(exitNoRun)
	}
	os.Exit(runCase(run, os.Args[2]))
}

// runCase runs a case, ends all its processes and returns the exit status.
func runCase(run func(*lab) (bool, error), folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	broken, err := run(l)
	l.close()
	switch {
	case err != nil:
		l.record("the case could not run: %v", err)
		return exitNoRun
	case broken:
		l.record("result: the rule was broken")
		return exitBroken
	default:
		l.record("result: the rule held")
		return exitHeld
	}
}
