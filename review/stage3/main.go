// Command stage3 plays the cases of the third review against entry hosts in processes of their own.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

const longestPlay = 110 * time.Second

// cases maps the names of cases to functions that report whether the rule was broken.
var cases = map[string]func(ctx context.Context, s *system, trouble bool) (bool, error){
	"empty":  playEmpty,
	"late":   playLate,
	"memory": playMemory,
	"odd":    playOdd,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file to write")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return couldNot
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	ctx, cancel := context.WithTimeout(context.Background(), longestPlay)
	defer cancel()
	s, err := newSystem(ctx, r, *root)
	if err != nil {
		r.printf("could not run: %v", err)
		return couldNot
	}
	defer s.close()
	isBroken, err := play(ctx, s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return couldNot
	case isBroken:
		r.printf("result: the rule was broken")
		return broken
	}
	r.printf("result: the rule held")
	return held
}
