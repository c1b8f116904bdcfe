package poison

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed of the rapid tests; the -rapid.seed flag overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
