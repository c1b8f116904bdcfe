package main

import (
	"context"
	"io"
	"os"
	"os/exec"
	"runtime"
)

// busyFlag makes the program only use the processor, until its standard input ends.
const busyFlag = "--spin"

// spin uses one core until the parent process ends.
func spin() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // returns when the parent has ended
		cancel()
	}()
	for ctx.Err() == nil {
		runtime.Gosched()
	}
}

// startBusy starts n processes that use the processor. They end with this process, or when stop is called.
func startBusy(n int) (stop func(), err error) {
	var inputs []io.Closer
	var processes []*exec.Cmd
	stop = func() {
		for _, in := range inputs {
			_ = in.Close()
		}
		for _, p := range processes {
			_ = p.Wait()
		}
	}
	program, err := os.Executable()
	if err != nil {
		return stop, err
	}
	for range n {
		p := exec.Command(program, busyFlag)
		in, err := p.StdinPipe()
		if err != nil {
			return stop, err
		}
		inputs = append(inputs, in)
		if err := p.Start(); err != nil {
			return stop, err
		}
		processes = append(processes, p)
	}
	return stop, nil
}
