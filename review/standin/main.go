// Command standin plays the clients, listing servers and discovery agents of the review's cases. It starts gateways
// with the command of the deploy file, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// testCase is one case of the review.
type testCase interface {
	behavior
	site() *site
	// run plays the clients.
	run(d *deployment)
	// check returns a line that says what was found, and whether the rule was kept.
	check(d *deployment) (finding string, held bool, err error)
}

func main() {
	runtime.LockOSThread() // the gateways end with the thread that has started them, and so with this process
	status, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
	}
	os.Exit(status)
}

// run plays the case that the first argument names. The second is the root of the repository, and the third the file of
// the record. TROUBLE=0 in the environment leaves the disruption out.
func run() (status int, err error) {
	if len(os.Args) != 4 {
		return statusNotRun, errors.New("usage: standin CASE ROOT RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]testCase{
		"interim":      &interim{trouble: trouble, made: map[string]string{}},
		"hidden":       &hiddenRequest{trouble: trouble},
		"half-request": &halfRequest{trouble: trouble},
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		return statusNotRun, errors.New("no such case: " + os.Args[1])
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		return statusNotRun, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return statusNotRun, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	d, err := startDeployment(os.Args[2], directory, c.site(), record, c)
	if err != nil {
		return statusNotRun, err
	}
	stop := sync.OnceFunc(d.stop)
	defer stop()
	c.run(d)
	stop()
	finding, held, err := c.check(d)
	if err != nil {
		return statusNotRun, err
	}
	finding = fmt.Sprintf("usual clients, answers by status: %v; %s", d.countByStatus(), finding)
	record.logf("result: held=%v %s", held, finding)
	fmt.Println(finding)
	if !held {
		return statusBroken, nil
	}
	return statusHeld, nil
}
