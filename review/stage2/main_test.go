// Package stage2_test plays the scripted cases of the second review. Its test binary, with the name of a case and of its record as
// arguments, starts the platform's program as separate processes beside stand-ins of the store and of the backend servers, and checks
// one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it
// leaves the disruption out. It is test code, since it uses the platform's stand-ins. "go test" plays no case.
package stage2_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"waiting-callers": waitingCallers,
	"leaving-callers": leavingCallers,
	"revoked-key":     revokedKey,
	"quota-owners":    quotaOwners,
}

func TestMain(m *testing.M) {
	if len(os.Args) != 3 || strings.HasPrefix(os.Args[1], "-") {
		os.Exit(m.Run())
	}
	if cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(run())
}

func run() int {
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken {
		rec.line("RESULT: broken")
		fmt.Println("broken")
		return exitBroken
	}
	rec.line("RESULT: held")
	fmt.Println("held")
	return exitHeld
}
