package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// classCount is the number of priority classes.
const classCount = int(fleet.Training) + 1

const (
	// maxSpotTokens is the length of the longest live answer that may run on a
	// spot server, in tokens.
	maxSpotTokens = 512
	// reserveWindow is how long the reserve for live work is kept after the
	// last live request.
	reserveWindow = time.Minute
)

// Settings are the fractions of a cell's slots that are kept for a class, and the
// placement. The zero value keeps no slots and uses PrefixPlacement.
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

// classLoad counts the running grants per class and records when the last live
// request arrived.
type classLoad struct {
	running [classCount]int
	// standard counts those on standard servers.
	standard [classCount]int
	// lastLiveAt is when the last request that is not for training arrived.
	lastLiveAt time.Time
}

func (l *classLoad) add(g *grant, n int) {
	class := clampClass(g.ask.Request.Class)
	l.running[class] += n
	if g.server.server.Kind != fleet.Spot {
		l.standard[class] += n
	}
}

// clampClass maps an unknown class to the least urgent one.
func clampClass(c fleet.Class) fleet.Class {
	return min(c, fleet.Training)
}
