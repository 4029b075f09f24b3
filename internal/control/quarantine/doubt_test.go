package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
)

// TestFateOfServers guards against a request that ends all servers being excused as a partition,
// and against a partition being taken for the end of the servers.
func TestFateOfServers(t *testing.T) {
	const unknown, ended, excused = quarantine.FateUnknown, quarantine.FateEnded, quarantine.FateExcused
	for name, x := range map[string]struct {
		doubt quarantine.Doubt
		want  quarantine.Fate
	}{
		"runs on":                           {quarantine.Doubt{Age: time.Second, Listed: true}, unknown},
		"runs on for long":                  {quarantine.Doubt{Age: quarantine.DoubtTime, Listed: true}, excused},
		"row removed":                       {quarantine.Doubt{Age: 4 * time.Second}, ended},
		"started again under its ID":        {quarantine.Doubt{Age: 2 * time.Second, Replaced: true}, ended},
		"another server at its address":     {quarantine.Doubt{Age: 2 * time.Second, Listed: true, Replaced: true}, ended},
		"row removed long after":            {quarantine.Doubt{Age: time.Minute}, excused},
		"shuts down as planned":             {quarantine.Doubt{Age: time.Second, Listed: true, Leaving: true}, excused},
		"replaced after a planned shutdown": {quarantine.Doubt{Age: time.Second, Replaced: true, Leaving: true}, excused},
	} {
		must.Eq(t, x.want, x.doubt.Fate(), must.Sprint(name))
	}
}
