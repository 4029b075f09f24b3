package telemetry

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// TestOperationsPageIsComplete checks that the operators' page has a table row
// for each refusal reason, metric, event kind and setting.
func TestOperationsPageIsComplete(t *testing.T) {
	b, err := os.ReadFile("../../../docs/OPERATIONS.md")
	must.NoError(t, err)
	listed := make(map[string]bool)
	for _, line := range strings.Split(string(b), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 3 {
			continue
		}
		for i, word := range strings.Split(cells[1], "`") {
			if i%2 == 1 {
				listed[word] = true
			}
		}
	}
	var words []string
	for _, r := range refusal.Reasons() {
		words = append(words, string(r))
	}
	for _, n := range Names() {
		words = append(words, string(n))
	}
	for _, k := range timeline.Kinds() {
		words = append(words, string(k))
	}
	for _, s := range config.Settings() {
		words = append(words, string(s))
	}
	for _, w := range words {
		must.True(t, listed[w], must.Sprintf("%s has no row in docs/OPERATIONS.md", w))
	}
}
