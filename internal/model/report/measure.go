// Package report writes the results of the model as a Markdown page and as plots.
package report

import (
	"fmt"

	"github.com/lacewingtally/lacewingtally/internal/model/experiment"
)

// Measure is one column of the tables.
type Measure struct {
	Name string
	// Unit is shown with the name in column headings and on the axis of plots.
	Unit string
	// Digits is the number of digits shown after the decimal point.
	Digits int
	// HigherIsBetter is whether a higher value is better.
	HigherIsBetter bool
	Value          func(*experiment.Result) float64
}

// summary contains the mean and range of a measure over the seeds.
type summary struct {
	mean, lowest, highest float64
}

// Measures returns the columns of the tables, in order.
func Measures() []Measure {
	return []Measure{
		{Name: "Trainer idle", Unit: "%", Digits: 2, Value: func(r *experiment.Result) float64 { return 100 * r.Idle }},
		{Name: "Staleness", Unit: "versions", Digits: 2, Value: func(r *experiment.Result) float64 { return r.Lag }},
		{Name: "Discarded samples", Unit: "%", Digits: 2, Value: func(r *experiment.Result) float64 { return 100 * r.Discarded }},
		{Name: "Worst-served workspace, wait p99", Unit: "s", Digits: 2, Value: func(r *experiment.Result) float64 { return r.WorstWait }},
		{Name: "Worst-served workspace, in time", Unit: "%", Digits: 2, HigherIsBetter: true, Value: func(r *experiment.Result) float64 { return 100 * r.WorstInTime }},
		{Name: "Plain service, wait p99", Unit: "s", Digits: 3, Value: func(r *experiment.Result) float64 { return r.ServiceWait }},
		{Name: "Cost", Unit: "server hours per million useful tokens", Digits: 3, Value: func(r *experiment.Result) float64 { return r.Cost }},
		{Name: "Late usage reports", Unit: "%", Digits: 1, Value: func(r *experiment.Result) float64 { return 100 * r.Late }},
		{Name: "Tokens on spot servers", Unit: "%", Digits: 1, HigherIsBetter: true, Value: func(r *experiment.Result) float64 { return 100 * r.SpotFraction }},
		{Name: "Requests cut by reclaims", Unit: "number", Digits: 1, Value: func(r *experiment.Result) float64 { return r.Interrupted }},
		{Name: "Tokens lost by reclaims", Unit: "%", Digits: 2, Value: func(r *experiment.Result) float64 { return 100 * r.ReclaimLoss }},
	}
}

func (m *Measure) summarize(results []experiment.Result) summary {
	var s summary
	for i := range results {
		v := m.Value(&results[i])
		if i == 0 {
			s.lowest, s.highest = v, v
		}
		s.mean += v / float64(len(results))
		s.lowest, s.highest = min(s.lowest, v), max(s.highest, v)
	}
	return s
}

// text returns the mean and, if the values differ in the digits shown, the range.
func (m *Measure) text(s summary) string {
	format := func(v float64) string { return fmt.Sprintf("%.*f", m.Digits, v) }
	if format(s.lowest) == format(s.highest) {
		return format(s.mean)
	}
	return fmt.Sprintf("%s (%s–%s)", format(s.mean), format(s.lowest), format(s.highest))
}

// compare compares the means of the system and a baseline. Differences of at most
// 2 %, or of less than one in the last digit shown, count as equal.
func (m *Measure) compare(system, other summary) string {
	const tolerance = 0.02
	d := system.mean - other.mean
	size := max(abs(system.mean), abs(other.mean))
	digit := 1.0
	for range m.Digits {
		digit /= 10
	}
	switch {
	case abs(d) <= tolerance*size || abs(d) < digit:
		return "equal"
	case (d > 0) == m.HigherIsBetter:
		return "better"
	default:
		return "worse"
	}
}

func abs(v float64) float64 {
	return max(v, -v)
}
