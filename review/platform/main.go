// Command drill runs one case of the review: it starts routers as processes, with stand-ins
// for the platform, the engines and the clients, and checks one rule. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// drill runs a case; trouble is false for the run without the disruption. It returns the
// number of times that the rule was broken.
type drill func(f *fleet, trouble bool) (broken int, err error)

var drills = map[string]drill{
	"late-copy":      lateCopy,
	"joined-failure": joinedFailure,
	"fatal-part":     fatalPart,
	"half-closed":    halfClosed,
	"stuck-router":   stuckRouter,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		return couldNotRun
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %t", os.Args[1], trouble)
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := drills[os.Args[1]](f, trouble)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var ended result
	select {
	case ended = <-done:
	case <-time.After(caseLimit):
		ended.err = errors.New("the case took too long")
	case <-stop:
		ended.err = errors.New("the case was stopped")
	}
	switch {
	case ended.err != nil:
		r.printf("verdict: couldn't run: %v", ended.err)
		return couldNotRun
	case ended.broken > 0:
		r.printf("verdict: broken %d times", ended.broken)
		return ruleBroken
	default:
		r.printf("verdict: held")
		return ruleHeld
	}
}
