package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/model/experiment"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func page() *Page {
	p := &Page{Variants: experiment.Variants()[:2], First: 1, Seeds: 2}
	for _, d := range []string{"Asociace", "Cosecha Escolar"} {
		p.Blocks = append(p.Blocks, experiment.Block{Deployment: d, Scenario: trace.Calm, Results: [][]experiment.Result{
			{{Idle: 0.1, WorstWait: 1}, {Idle: 0.3, WorstWait: 1}},
			{{Idle: 0.2, WorstWait: 3}, {Idle: 0.2, WorstWait: 4}},
		}})
	}
	return p
}

func TestPage(t *testing.T) {
	var a, b strings.Builder
	must.NoError(t, page().Write(&a))
	must.NoError(t, page().Write(&b))
	must.Eq(t, a.String(), b.String())
	must.StrContains(t, a.String(), "| 20.00 (10.00–30.00) |")
	must.StrContains(t, a.String(), "| calm | better |")
	must.StrContains(t, a.String(), "| calm | equal |")
}

func TestPlotsAreDeterministic(t *testing.T) {
	first, second := t.TempDir(), t.TempDir()
	must.NoError(t, page().Plot(first))
	must.NoError(t, page().Plot(second))
	for _, f := range figures() {
		a, err := os.ReadFile(filepath.Join(first, f.file()))
		must.NoError(t, err)
		b, err := os.ReadFile(filepath.Join(second, f.file()))
		must.NoError(t, err)
		must.Eq(t, a, b)
	}
}

func TestCompare(t *testing.T) {
	m := Measure{Digits: 2}
	must.Eq(t, "better", m.compare(summary{mean: 1}, summary{mean: 2}))
	must.Eq(t, "worse", m.compare(summary{mean: 2}, summary{mean: 1}))
	must.Eq(t, "equal", m.compare(summary{mean: 2}, summary{mean: 2.03}))
	must.Eq(t, "equal", m.compare(summary{mean: 0}, summary{mean: 0.009}))
	m.HigherIsBetter = true
	must.Eq(t, "worse", m.compare(summary{mean: 1}, summary{mean: 2}))
}
