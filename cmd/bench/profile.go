package main

import (
	"os"
	"runtime/pprof"
)

// startProfile starts a CPU profile that is written to the file, unless the name is empty. The returned function stops it.
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
