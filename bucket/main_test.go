package bucket

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the rapid tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
