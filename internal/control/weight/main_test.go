package weight_test

import (
	"flag"
	"fmt"
	"testing"

	"go.uber.org/goleak"

	"github.com/lacewingtally/lacewingtally/internal/base/seed"
)

func TestMain(m *testing.M) {
	// The flags exist, for rapid registers them when it is imported.
	_ = flag.Set("rapid.seed", fmt.Sprint(seed.Value()))
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}
