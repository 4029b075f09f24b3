// Package suite runs the tests of a package such that they end alike on every
// run.
package suite

import (
	"flag"
	"fmt"
	"testing"

	"go.uber.org/goleak"
	// The import registers the flags that Main sets.
	_ "pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/seed"
)

// Main is what a package's TestMain calls: it runs the tests with the seed of
// all random choices, and fails when a goroutine outlives them.
func Main(m *testing.M) {
	flag.Parse()
	set("rapid.seed", fmt.Sprint(seed.Value()))
	set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
