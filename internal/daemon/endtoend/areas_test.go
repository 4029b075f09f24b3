package endtoend

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const internalPrefix = "github.com/lacewingtally/lacewingtally/internal/"

// adapterPrefix is the path prefix of the adapters to the users' platform, which
// only main packages may import.
const adapterPrefix = "github.com/lacewingtally/lacewingtally/platform/"

// areas lists the path prefixes that the packages of each area may import, besides
// those of the area itself and of base.
var areas = map[string][]string{
	"api":      {},
	"base":     {},
	"platform": {},
	"backend":  {},
	"control":  {"platform/", "backend/", "caller/gate", "daemon/timeline"},
	"peer":     {"control/", "platform/", "caller/gate", "daemon/timeline"},
	"caller":   {"api/", "control/", "platform/", "backend/", "daemon/timeline"},
	"standin":  {"api/", "platform/", "backend/"},
	"model":    {"control/", "caller/gate", "backend/", "daemon/timeline"},
	"daemon":   {"api/", "control/", "platform/", "backend/", "peer/", "caller/", "front/settings"},
	"front":    {"control/", "daemon/telemetry", "peer/wire"},
}

// TestImportsBetweenAreas checks that each area imports only the packages that the
// areas variable permits.
func TestImportsBetweenAreas(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, "../../...").Output()
	must.NoError(t, err)
	packages := 0
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		words := strings.Fields(line)
		path := strings.TrimPrefix(words[0], internalPrefix)
		area, _, _ := strings.Cut(path, "/")
		allowed, ok := areas[area]
		if !ok {
			continue
		}
		packages++
		for _, w := range words[1:] {
			must.False(t, strings.HasPrefix(w, adapterPrefix), must.Sprintf("%s imports %s", path, w))
			if i, ok := strings.CutPrefix(w, internalPrefix); ok {
				must.True(t, permitted(i, append([]string{area + "/", "base/"}, allowed...)), must.Sprintf("%s imports %s", path, i))
			}
		}
	}
	must.Positive(t, packages)
}

func permitted(path string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(path, p) {
			return true
		}
	}
	return false
}
