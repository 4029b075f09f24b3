package quarantine_test

import (
	"flag"
	"fmt"
	"testing"

	"go.uber.org/goleak"

	"github.com/lacewingtally/lacewingtally/internal/base/seed"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", fmt.Sprint(seed.Value()))
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "2000")
	goleak.VerifyTestMain(m)
}
