// Package recorded replays recorded traces in tests. A trace is a YAML file with
// the inputs of a decision, their times and the expected outcome.
package recorded

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"go.yaml.in/yaml/v3"
)

// tracePattern matches the trace files of the package under test.
const tracePattern = "testdata/*.yaml"

// Each decodes every trace of the package under test into a T and runs replay on
// it in a subtest named after the file. The test fails if there are no traces or
// if a trace contains unknown fields.
func Each[T any](t *testing.T, replay func(t *testing.T, x T)) {
	t.Helper()
	paths, err := filepath.Glob(tracePattern)
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, p := range paths {
		t.Run(filepath.Base(p), func(t *testing.T) {
			b, err := os.ReadFile(p)
			must.NoError(t, err)
			var x T
			d := yaml.NewDecoder(bytes.NewReader(b))
			d.KnownFields(true)
			must.NoError(t, d.Decode(&x))
			replay(t, x)
		})
	}
}
