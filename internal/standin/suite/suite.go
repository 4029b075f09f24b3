// Package suite runs the tests of a package with fixed random seeds and checks for
// leaked goroutines.
package suite

import (
	"flag"
	"fmt"
	"testing"

	"go.uber.org/goleak"
	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/seed"
)

// Main is called by the TestMain of a package. It seeds all random choices, runs
// the tests, and fails if a goroutine is still running after them.
func Main(m *testing.M) {
	flag.Parse()
	setFlag("rapid.seed", fmt.Sprint(seed.Value()))
	setFlag("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
