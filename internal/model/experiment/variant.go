package experiment

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

// Admission decides who may start where. *cell.Cell implements it.
type Admission interface {
	Ask(now time.Time, a cell.Ask) []cell.Decision
	Cancel(now time.Time, id cell.AskID) []cell.Decision
	Release(now time.Time, id string, r gate.Report) []cell.Decision
	Report(now time.Time, l cell.Load) []cell.Decision
	Servers(now time.Time, servers []fleet.Server) []cell.Decision
	Tick(now time.Time) []cell.Decision
}

// Straggling decides what is done about samples that come late.
type Straggling interface {
	// Move reports whether a running sample should go on elsewhere, by its
	// own rate and the median rate, in tokens a second.
	Move(rate, median float64) bool
	// Spare returns how many groups are asked for beyond those of a step.
	Spare(groups int) int
}

// Variant is one set of policies.
type Variant struct {
	Name string
	// Admission makes the admission of one pool; seed is for random choices.
	Admission func(seed uint64) Admission
	// Ahead is whether a batch is formed while its trainer is still busy.
	Ahead bool
	// Bounded is whether waiting is bounded and callers name deadlines.
	Bounded bool
	// Fresh is whether a step's groups are asked for only when the newest
	// weights are on all servers.
	Fresh bool
	// Notices is whether notices of a reclaim are heeded; without, only the
	// VM list tells.
	Notices bool
	// OneClass is whether all requests are of one class.
	OneClass bool
	// Resume is whether what a reclaimed server generated is kept.
	Resume bool
	// Spot is whether spot servers are used; without, standard ones take
	// their place.
	Spot       bool
	Straggling Straggling
}

// None does nothing about stragglers.
type None struct{}

// Move implements Straggling.
func (None) Move(_, _ float64) bool { return false }

// Spare implements Straggling.
func (None) Spare(int) int { return 0 }

// Handled asks for spare groups and moves samples off slow servers.
type Handled struct{}

// Move implements Straggling.
func (Handled) Move(rate, median float64) bool {
	const slow = 0.5
	return rate < slow*median
}

// Spare implements Straggling.
func (Handled) Spare(groups int) int {
	const part = 8
	return (groups + part - 1) / part
}

// Variants returns the system's own policy first, then the baselines.
func Variants() []Variant {
	ours := Variant{
		Name:       "lacewingtally",
		Admission:  ourCell(func() cell.Policy[fleet.Workspace] { return cell.MaxMin[fleet.Workspace]{} }),
		Bounded:    true,
		Ahead:      true,
		Fresh:      true,
		Notices:    true,
		Resume:     true,
		Spot:       true,
		Straggling: Handled{},
	}
	share := ours
	share.Name = "order by task share"
	share.Admission = ourCell(func() cell.Policy[fleet.Workspace] { return cell.Share[fleet.Workspace]{} })
	turns := ours
	turns.Name = "order by turns"
	turns.Admission = ourCell(func() cell.Policy[fleet.Workspace] { return &cell.RoundRobin[fleet.Workspace]{} })
	demand := ours
	demand.Name = "on-demand only"
	demand.Spot = false
	late := ours
	late.Name = "no straggler handling"
	late.Straggling = None{}
	fifo := Variant{
		Name:       "FIFO, least reported load",
		Admission:  fifoCell,
		OneClass:   true,
		Spot:       true,
		Straggling: None{},
	}
	two := fifo
	two.Name = "two random choices"
	two.Admission = func(seed uint64) Admission { return newScattered(seed) }
	two.OneClass = false
	return []Variant{ours, share, turns, fifo, two, demand, late}
}

func fifoCell(uint64) Admission {
	return &cell.Cell{
		Policy:   cell.FIFO[fleet.Workspace]{},
		Settings: cell.Settings{Placement: cell.ReportedPlacement{}},
	}
}

func ourCell(policy func() cell.Policy[fleet.Workspace]) func(uint64) Admission {
	return func(uint64) Admission {
		return &cell.Cell{Policy: policy(), Settings: cell.DefaultSettings()}
	}
}
