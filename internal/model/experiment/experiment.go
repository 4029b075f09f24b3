package experiment

import (
	"runtime"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

// Run replays one trace with one variant. The same trace and variant give the
// same result.
func Run(t *trace.Trace, v Variant) Result {
	return newWorld(t, v).run()
}

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []trace.Scenario {
	return []trace.Scenario{trace.Calm, trace.Overloaded, trace.Stragglers, trace.SpotReclaimed, trace.StoreOutage}
}

// Block is all results of one deployment in one scenario.
type Block struct {
	Deployment string
	Scenario   trace.Scenario
	// Results are by variant, then by seed.
	Results [][]Result
}

// All runs every deployment, scenario, variant and seed, from first on.
func All(variants []Variant, first uint64, seeds int) []Block {
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
