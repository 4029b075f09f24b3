package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

const validSettings = `Region: cz-stred
FailureDomain: praha-a
Regions:
  - Name: cz-stred
    FailureDomains: [praha-a, praha-b, kladno]
  - Name: lima-centro
    FailureDomains: [lima-a]
Listen:
  Callers: 127.0.0.1:8080
  Operators: 127.0.0.1:8081
  Peers: 127.0.0.1:8082
  Metrics: 127.0.0.1:8083
AdvertisePeer: 127.0.0.1:8082
Seeds: ["127.0.0.2:8082"]
Platform:
  Table: 127.0.0.9:1
  Objects: 127.0.0.9:2
  Orders: 127.0.0.9:3
  Usage: 127.0.0.9:4
  VMList: 127.0.0.9:5
  Weights: 127.0.0.9:6
TLS:
  CA: FILE
  Certificate: FILE
  Key: FILE
OperatorKeyHash: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
Drain:
  BalancerDelay: 2s
`

func TestMain(m *testing.M) {
	suite.Main(m)
}

func content(t *testing.T, old, replacement string) []byte {
	t.Helper()
	f := filepath.Join(t.TempDir(), "file.pem")
	must.NoError(t, os.WriteFile(f, nil, 0o600))
	must.StrContains(t, validSettings, old)
	return []byte(strings.ReplaceAll(strings.Replace(validSettings, old, replacement, 1), "FILE", f))
}

func TestParse(t *testing.T) {
	s, err := Parse("a.yaml", content(t, "", ""))
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1:8080", s.Listen.Callers.String())
	must.Eq(t, 2*time.Second, s.Drain.BalancerDelay)
	must.Eq(t, defaultDrainLimit, s.Drain.Limit)
	must.Eq(t, "info", s.Log.Level)
	must.Len(t, 3, s.Regions[0].FailureDomains)

	b, err := Marshal(s)
	must.NoError(t, err)
	again, err := Parse("b.yaml", b)
	must.NoError(t, err)
	must.Eq(t, s, again)
}

func TestParseErrors(t *testing.T) {
	for _, c := range []struct {
		name, old, replacement string
		kind                   error
		line                   int
		path                   string
	}{
		{"unknown key", "  Metrics:", "  Metric:", ErrUnknownKey, 12, "Listen.Metric"},
		{"unknown key at the top", "Seeds:", "Seed:", ErrUnknownKey, 14, "Seed"},
		{"bad address", "127.0.0.1:8081", "127.0.0.1", ErrInvalid, 10, "Listen.Operators"},
		{"host name", "127.0.0.9:2", "objects:2", ErrInvalid, 17, "Platform.Objects"},
		{"port zero", "127.0.0.9:3", "127.0.0.9:0", ErrInvalid, 18, "Platform.Orders"},
		{"bad seed", "127.0.0.2:8082", "x", ErrInvalid, 14, "Seeds[0]"},
		{"missing address", "  Table: 127.0.0.9:1\n", "", ErrInvalid, 15, "Platform.Table"},
		{"shared address", "127.0.0.1:8083", "127.0.0.1:8080", ErrDuplicate, 12, "Listen.Metrics"},
		{"unspecified advertised address", "AdvertisePeer: 127.0.0.1", "AdvertisePeer: 0.0.0.0", ErrInvalid, 13, "AdvertisePeer"},
		{"overlapping failure domains", "[lima-a]", "[praha-b]", ErrDuplicate, 7, "Regions[1].FailureDomains[0]"},
		{"duplicate region", "Name: lima-centro", "Name: cz-stred", ErrDuplicate, 6, "Regions[1].Name"},
		{"key given twice", "FailureDomain: praha-a", "Region: x", ErrDuplicate, 2, "Region"},
		{"unknown region", "Region: cz-stred", "Region: cz", ErrInvalid, 1, "Region"},
		{"failure domain of another region", "FailureDomain: praha-a", "FailureDomain: lima-a", ErrInvalid, 2, "FailureDomain"},
		{"bad name", "kladno", "Kladno_1", ErrInvalid, 5, "Regions[0].FailureDomains[2]"},
		{"missing file", "CA: FILE", "CA: /nowhere/ca.pem", ErrFile, 23, "TLS.CA"},
		{"short hash", "9f86d081", "9f86", ErrInvalid, 26, "OperatorKeyHash"},
		{"negative duration", "BalancerDelay: 2s", "BalancerDelay: -2s", ErrInvalid, 28, "Drain.BalancerDelay"},
		{"invalid duration", "BalancerDelay: 2s", "BalancerDelay: two", ErrInvalid, 28, "Drain.BalancerDelay"},
		{"list expected", "Seeds: [\"127.0.0.2:8082\"]", "Seeds: 3", ErrInvalid, 14, "Seeds"},
		{"mapping expected", "Drain:\n  BalancerDelay: 2s", "Drain: [1]", ErrInvalid, 27, "Drain"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("a.yaml", content(t, c.old, c.replacement))
			must.ErrorIs(t, err, c.kind)
			var e *Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, c.line, e.Line)
			must.Eq(t, c.path, e.Path)
			must.StrHasPrefix(t, "a.yaml:", err.Error())
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.yaml"))
	must.ErrorIs(t, err, ErrFile)
}

func TestParseNotYAML(t *testing.T) {
	_, err := Parse("a.yaml", []byte("Region: [x\n"))
	must.ErrorIs(t, err, ErrFile)
	_, err = Parse("a.yaml", []byte("---\nRegion: x\n---\nRegion: y\n"))
	must.ErrorIs(t, err, ErrFile)
	_, err = Parse("a.yaml", nil)
	must.ErrorIs(t, err, ErrInvalid)
}
