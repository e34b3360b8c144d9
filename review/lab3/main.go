//go:build review

// Lab3 runs the scripts of the third review. It starts the gateway of the deploy file as separate
// processes on loopback addresses, beside a stand-in of the platform's store and small stand-ins of
// workers and clients that follow the users' pages.
//
//	lab3 case NAME RECORD   runs a case and writes what was sent, run and answered to RECORD
//	lab3 worker ...         is one worker process; cases start it
//
// The exit status of a case is 1 if the rule was broken, 0 if it held, and 2 if it could not run. With
// TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name.
var cases = map[string]func(*lab){
	"cut-answer":      runCutAnswer,
	"crash-at-freeze": runCrashAtFreeze,
	"grey-refusal":    runGreyRefusal,
	"slashes":         runSlashes,
	"half-close":      runHalfClose,
}

func main() {
	switch {
	case len(os.Args) == 4 && os.Args[1] == "case" && cases[os.Args[2]] != nil:
		os.Exit(runCase(cases[os.Args[2]], os.Args[3]))
	case len(os.Args) == 5 && os.Args[1] == "worker":
		runWorker(os.Args[2], os.Args[3], os.Args[4])
	default:
		fmt.Fprintln(os.Stderr, "usage: lab3 case NAME RECORD | lab3 worker ID ADDRESS RUNS")
		os.Exit(exitNotRun)
	}
}
