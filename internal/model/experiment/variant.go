package experiment

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

// Admission decides when and on which server requests start. *cell.Cell
// implements it.
type Admission interface {
	Ask(now time.Time, a cell.Ask) []cell.Decision
	Cancel(now time.Time, id cell.AskID) []cell.Decision
	Release(now time.Time, id string, r gate.Report) []cell.Decision
	Report(now time.Time, l cell.Load) []cell.Decision
	Servers(now time.Time, servers []fleet.Server) []cell.Decision
	Tick(now time.Time) []cell.Decision
}

// StragglerPolicy decides how samples that are slow to complete are handled.
type StragglerPolicy interface {
	// Move reports whether a running sample should continue on another server,
	// from its own rate and the median rate, in tokens per second.
	Move(rate, median float64) bool
	// Spare returns the number of groups to ask for beyond those of a step.
	Spare(groups int) int
}

// Variant is a set of policies to compare with others.
type Variant struct {
	Name string
	// Admission returns the admission of one pool; seed is used for random
	// choices.
	Admission func(seed uint64) Admission
	// Ahead makes trainers form the next batch while they are still busy.
	Ahead bool
	// Bounded limits the number of waiting requests and gives requests their
	// callers' deadlines.
	Bounded bool
	// Fresh makes trainers ask for the groups of a step only when the newest
	// weights are on all servers.
	Fresh bool
	// Notices makes the system act on reclaim notices; otherwise it learns of
	// a reclaim only from the VM list.
	Notices bool
	// OneClass treats all requests as one class.
	OneClass bool
	// Resume keeps the tokens that an interrupted or moved attempt generated.
	Resume bool
	// Spot uses spot servers; otherwise standard servers replace them.
	Spot       bool
	Stragglers StragglerPolicy
}

// NoStragglerHandling neither moves samples nor asks for spare groups.
type NoStragglerHandling struct{}

// Move implements StragglerPolicy.
func (NoStragglerHandling) Move(_, _ float64) bool { return false }

// Spare implements StragglerPolicy.
func (NoStragglerHandling) Spare(int) int { return 0 }

// SpareAndMove asks for one spare group in eight and moves samples that run at
// less than half the median rate.
type SpareAndMove struct{}

// Move implements StragglerPolicy.
func (SpareAndMove) Move(rate, median float64) bool {
	const slow = 0.5
	return rate < slow*median
}

// Spare implements StragglerPolicy.
func (SpareAndMove) Spare(groups int) int {
	const ratio = 8
	return (groups + ratio - 1) / ratio
}

// Variants returns all variants: first the policies of the system, then the
// baselines.
func Variants() []Variant {
	system := Variant{
		Name:       "lacewingtally",
		Admission:  systemCell(func() cell.Policy[fleet.Workspace] { return cell.MaxMin[fleet.Workspace]{} }),
		Bounded:    true,
		Ahead:      true,
		Fresh:      true,
		Notices:    true,
		Resume:     true,
		Spot:       true,
		Stragglers: SpareAndMove{},
	}
	taskShare := system
	taskShare.Name = "order by task share"
	taskShare.Admission = systemCell(func() cell.Policy[fleet.Workspace] { return cell.Share[fleet.Workspace]{} })
	roundRobin := system
	roundRobin.Name = "order by turns"
	roundRobin.Admission = systemCell(func() cell.Policy[fleet.Workspace] { return &cell.RoundRobin[fleet.Workspace]{} })
	onDemand := system
	onDemand.Name = "on-demand only"
	onDemand.Spot = false
	noStragglerHandling := system
	noStragglerHandling.Name = "no straggler handling"
	noStragglerHandling.Stragglers = NoStragglerHandling{}
	fifo := Variant{
		Name:       "FIFO, least reported load",
		Admission:  fifoCell,
		OneClass:   true,
		Spot:       true,
		Stragglers: NoStragglerHandling{},
	}
	twoChoices := fifo
	twoChoices.Name = "two random choices"
	twoChoices.Admission = func(seed uint64) Admission { return newRandomChoice(seed) }
	twoChoices.OneClass = false
	return []Variant{system, taskShare, roundRobin, fifo, twoChoices, onDemand, noStragglerHandling}
}

func fifoCell(uint64) Admission {
	return &cell.Cell{
		Policy:   cell.FIFO[fleet.Workspace]{},
		Settings: cell.Settings{Placement: cell.ReportedPlacement{}},
	}
}

func systemCell(policy func() cell.Policy[fleet.Workspace]) func(uint64) Admission {
	return func(uint64) Admission {
		return &cell.Cell{Policy: policy(), Settings: cell.DefaultSettings()}
	}
}
