package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// classes is the number of priority classes.
const classes = int(fleet.Training) + 1

const (
	// shortTokens is the longest live answer that may run on a spot server.
	shortTokens = 512
	// reserveWindow is how long the reserve for live work is kept after the
	// last live request.
	reserveWindow = time.Minute
)

// Settings are the fractions of a cell's slots that are kept for a class. The
// zero value keeps none.
type Settings struct {
	// LiveReserve is the fraction of the standard slots that training leaves
	// free while live requests arrive, from 0 to 1.
	LiveReserve float64
	// TrainingFloor is the fraction of all slots up to which training takes
	// precedence over waiting live requests, from 0 to 1.
	TrainingFloor float64
	// Placement chooses among servers; nil is PrefixPlacement.
	Placement Placement
}

// DefaultSettings returns the settings that daemons use.
func DefaultSettings() Settings {
	return Settings{LiveReserve: 0.3, TrainingFloor: 0.2}
}

// classLoad counts the running grants, per class.
type classLoad struct {
	running [classes]int
	// standard counts those on standard servers.
	standard [classes]int
	// lastLiveAt is when the last request that is not for training arrived.
	lastLiveAt time.Time
}

func (l *classLoad) add(g *grant, n int) {
	class := classOf(g.ask.Request.Class)
	l.running[class] += n
	if g.server.server.Kind != fleet.Spot {
		l.standard[class] += n
	}
}

// classOf maps an unknown class to the least urgent one.
func classOf(c fleet.Class) fleet.Class {
	return min(c, fleet.Training)
}
