// Command stage2 plays the cases of the second review: it starts entry hosts as processes and stands in for their platform, searchers
// and callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun bounds the time of a case.
const maxRun = 118 * time.Second

// errBroken reports that a rule was broken.
var errBroken = errors.New("the rule was broken")

// scenarios holds the cases by name. A case returns errBroken if the rule was broken.
var scenarios = map[string]func(ctx context.Context, r *record, trouble bool) error{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", name, trouble)
	err = scenarios[name](ctx, r, trouble)
	switch {
	case errors.Is(err, errBroken):
		r.say("%v", err)
		return exitBroken
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitFailed
	}
	r.say("the rule held")
	return exitHeld
}
