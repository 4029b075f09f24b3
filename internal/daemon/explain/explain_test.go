package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/daemon/explain"
)

const firstLog = `{"Level":"info","At":"2026-06-28T05:53:44.5Z","Message":"item completed","Job":"j","Item":"i"}
not structured
{"Level":"info","At":"2026-06-28T05:53:43.5Z","Message":"job accepted","Job":"j"}
{"Level":"info","At":"2026-06-28T05:53:43.6Z","Message":"job accepted","Job":"other"}
`

const secondLog = `   1.0 vm-2 {"Level":"info","At":"2026-06-28T05:53:44.1Z","Message":"item moved","Job":"j","Item":"i","From":"s"}
{"Level":"info","At":"2026-06-28T05:53:44.2Z","Message":"item moved","Job":"j","Item":"another"}
`

// TestLinesOfItem checks that the lines of an item are collected from two
// daemons, with those of its job and without those of other items.
func TestLinesOfItem(t *testing.T) {
	lines, err := explain.Collect("i", []explain.Log{{"vm-1", strings.NewReader(firstLog)}, {"vm-2", strings.NewReader(secondLog)}})
	must.NoError(t, err)
	var b bytes.Buffer
	must.NoError(t, explain.Write(&b, lines))
	must.Eq(t, `    0.000 s  vm-1             job accepted  Job=j
    0.600 s  vm-2             item moved  From=s  Item=i  Job=j
    1.000 s  vm-1             item completed  Item=i  Job=j
`, b.String())
}
