package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func standard(n, capacity int) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		out = append(out, fleet.Server{
			ID:            fleet.ServerID(fmt.Sprintf("standard-%d", i)),
			FailureDomain: fleet.FailureDomain(fmt.Sprintf("praha-%d", i%3)),
			Kind:          fleet.Standard,
			State:         fleet.StateLive,
			Capacity:      capacity,
		})
	}
	return out
}

func spot(n, capacity int) []fleet.Server {
	out := standard(n, capacity)
	for i := range out {
		out[i].ID = fleet.ServerID(fmt.Sprintf("spot-%d", i))
		out[i].Kind = fleet.Spot
	}
	return out
}

func request(id, workspace string, class fleet.Class, since float64) Ask {
	return Ask{
		ID:    AskID(id),
		Since: at(since),
		Request: gate.Request{
			ID:          fleet.RequestID(id),
			Workspace:   fleet.Workspace(workspace),
			Class:       class,
			Tokens:      100,
			Deadline:    at(since + 3600),
			SpotAllowed: class == fleet.Training,
		},
	}
}

// granted returns the grants among decisions, by ask.
func granted(decisions []Decision) map[AskID]gate.Grant {
	out := make(map[AskID]gate.Grant)
	for _, d := range decisions {
		if d.Reason == "" {
			out[d.Ask] = d.Grant
		}
	}
	return out
}
