package experiment

import (
	"runtime"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

// Run replays a trace with a variant. The same trace and variant give the same
// result.
func Run(t *trace.Trace, v Variant) Result {
	return newSimulation(t, v).run()
}

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []trace.Scenario {
	return []trace.Scenario{trace.Calm, trace.Overloaded, trace.Stragglers, trace.SpotReclaimed, trace.StoreOutage}
}

// Block contains the results of one deployment in one scenario.
type Block struct {
	Deployment string
	Scenario   trace.Scenario
	// Results is indexed by variant, then by seed.
	Results [][]Result
}

// RunAll runs every combination of deployment, scenario and variant with the
// given number of consecutive seeds, starting at first.
func RunAll(variants []Variant, first uint64, seeds int) []Block {
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	var out []Block
	for _, d := range []trace.Deployment{trace.Asociace(), trace.Cosecha()} {
		for _, s := range Scenarios() {
			b := Block{Deployment: d.Name, Scenario: s, Results: make([][]Result, len(variants))}
			for i := range variants {
				b.Results[i] = make([]Result, seeds)
			}
			for k := range seeds {
				t := trace.New(d, s, first+uint64(k), trace.FullLength)
				for i, v := range variants {
					g.Go(func() error {
						b.Results[i][k] = Run(&t, v)
						return nil
					})
				}
			}
			out = append(out, b)
		}
	}
	_ = g.Wait()
	return out
}
