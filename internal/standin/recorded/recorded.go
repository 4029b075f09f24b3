// Package recorded replays recorded traces in tests: YAML files with the inputs
// of a decision, their times, and the outcome stated for them.
package recorded

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"go.yaml.in/yaml/v3"
)

// files are the traces of the package under test.
const files = "testdata/*.yaml"

// Each decodes each trace of the package under test into a T, strictly, and
// runs replay on it as a subtest with the file's name. There must be a trace.
func Each[T any](t *testing.T, replay func(t *testing.T, x T)) {
	t.Helper()
	paths, err := filepath.Glob(files)
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
