package main

import (
	"os"
	"runtime/pprof"
)

// startProfile profiles the process into the file until the function that it returns is called.
func startProfile(file string) (func(), error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}
