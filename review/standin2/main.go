// Command standin2 plays the cases of the second review: it starts gateways with the command of the deploy file and
// takes the place of clients, listing servers and discovery around them. The exit status is 1 if the case broke its
// rule, 0 if the rule held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

// maxRunTime ends a case that hangs, so that it stays under the 120 seconds of a case.
const maxRunTime = 100 * time.Second

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(w *world) (broken bool, err error)

// cases are the cases by name.
var cases = map[string]caseFunc{
	"second":  playSecond,
	"cut":     playCut,
	"memory":  playMemory,
	"crowd":   playCrowd,
	"lengths": playLengths,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name, with its folder, and returns the exit status.
func run(args []string) int {
	const argumentCount = 2
	if len(args) != argumentCount || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, from the root of the repository")
		return exitError
	}
	w, err := newWorld(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[args[0]](w)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errors.New("interrupted")
	case <-time.After(maxRunTime):
		r.err = fmt.Errorf("the case took over %v", maxRunTime)
	}
	return w.conclude(r.broken, r.err)
}
