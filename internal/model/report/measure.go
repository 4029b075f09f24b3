// Package report writes the results of the model as a page and as plots.
package report

import (
	"fmt"

	"github.com/lacewingtally/lacewingtally/internal/model/experiment"
)

// Measure is one column of the tables.
type Measure struct {
	Name string
	// Unit follows the figures' meaning in the heading.
	Unit string
	// Digits is the number of digits after the point.
	Digits int
	// More is whether more is better.
	More bool
	// Neutral is whether neither is better.
	Neutral bool
	Value   func(*experiment.Result) float64
}

// summary is one measure over the seeds.
type summary struct {
	mean, least, most float64
}

// Measures returns the columns in the order of the tables.
func Measures() []Measure {
	return []Measure{
		{Name: "Trainer idle", Unit: "%", Digits: 2, Value: func(r *experiment.Result) float64 { return 100 * r.Idle }},
		{Name: "Staleness", Unit: "versions", Digits: 2, Value: func(r *experiment.Result) float64 { return r.Lag }},
		{Name: "Discarded samples", Unit: "%", Digits: 2, Value: func(r *experiment.Result) float64 { return 100 * r.Discarded }},
		{Name: "Worst-served workspace, wait p99", Unit: "s", Digits: 2, Value: func(r *experiment.Result) float64 { return r.WorstWait }},
		{Name: "Worst-served workspace, in time", Unit: "%", Digits: 2, More: true, Value: func(r *experiment.Result) float64 { return 100 * r.WorstInTime }},
		{Name: "Plain service, wait p99", Unit: "s", Digits: 3, Value: func(r *experiment.Result) float64 { return r.ServiceWait }},
		{Name: "Cost", Unit: "server hours per million useful tokens", Digits: 3, Value: func(r *experiment.Result) float64 { return r.Cost }},
		{Name: "Late usage reports", Unit: "%", Digits: 1, Value: func(r *experiment.Result) float64 { return 100 * r.Late }},
		{Name: "Tokens on spot servers", Unit: "%", Digits: 1, More: true, Value: func(r *experiment.Result) float64 { return 100 * r.SpotFraction }},
		{Name: "Requests cut by reclaims", Unit: "number", Digits: 1, Value: func(r *experiment.Result) float64 { return r.Interrupted }},
		{Name: "Tokens lost by reclaims", Unit: "%", Digits: 2, Value: func(r *experiment.Result) float64 { return 100 * r.ReclaimLoss }},
	}
}

func (m *Measure) of(results []experiment.Result) summary {
	var s summary
	for i := range results {
		v := m.Value(&results[i])
		if i == 0 {
			s.least, s.most = v, v
		}
		s.mean += v / float64(len(results))
		s.least, s.most = min(s.least, v), max(s.most, v)
	}
	return s
}

// text returns the mean and, when the seeds differ, the spread.
func (m *Measure) text(s summary) string {
	format := func(v float64) string { return fmt.Sprintf("%.*f", m.Digits, v) }
	if format(s.least) == format(s.most) {
		return format(s.mean)
	}
	return fmt.Sprintf("%s (%s–%s)", format(s.mean), format(s.least), format(s.most))
}

// verdict compares the system with a baseline: by the means, where a
// difference within a fiftieth or the last digit counts as none.
func (m *Measure) verdict(ours, other summary) string {
	const close = 0.02
	d := ours.mean - other.mean
	size := max(abs(ours.mean), abs(other.mean))
	digit := 1.0
	for range m.Digits {
		digit /= 10
	}
	switch {
	case abs(d) <= close*size || abs(d) < digit:
		return "equal"
	case (d > 0) == m.More:
		return "better"
	default:
		return "worse"
	}
}

func abs(v float64) float64 {
	return max(v, -v)
}
