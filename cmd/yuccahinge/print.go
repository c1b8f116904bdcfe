package main

import (
	"encoding/json"
	"fmt"
	"os"
)

func printJSON(v any) int {
	body, err := json.Marshal(v)
	if err != nil {
		return fail(exitFailed, err)
	}
	fmt.Println(string(body))
	return exitDone
}

// fail prints err to standard error and returns code.
func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "yuccahinge:", err)
	return code
}
