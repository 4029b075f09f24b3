// Package trace generates, from a seed, the request arrivals and faults that
// the model replays.
package trace

import (
	"fmt"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// engineSlots is the number of generations that an engine runs at once.
	engineSlots = 16
	// serviceSlots is the number of calls that a plain service runs at once.
	serviceSlots = 8
)

// Deployment describes the fleet and load of one operator; it is the same in all
// scenarios.
type Deployment struct {
	Name    string
	Region  fleet.Region
	Domains []fleet.FailureDomain
	Daemons int
	// Engines are the servers of the model pool, including spot servers.
	Engines []fleet.Server
	// Services are the servers of the plain service pool.
	Services   []fleet.Server
	Workspaces []Workspace
	// LiveRate is the number of live generations requested per second.
	LiveRate float64
	// ServiceRate is the number of calls to the plain service per second.
	ServiceRate float64
	Trainers    []Trainer
}

// Trainer is one training job.
type Trainer struct {
	Workspace fleet.Workspace
	// Groups is the number of groups in a training step; each has Samples
	// samples.
	Groups  int
	Samples int
	// StepTime is the time that the trainer takes for one step.
	StepTime time.Duration
	// MeanTokens is the mean number of tokens in a sample.
	MeanTokens float64
}

// Workspace describes the live load of one workspace.
type Workspace struct {
	Name fleet.Workspace
	// Share is its fraction of the live rate.
	Share float64
	// Prefixes is the number of prompt prefixes that its requests share.
	Prefixes int
	// SpotAllowed is whether its live requests may run on spot servers.
	SpotAllowed bool
}

// Asociace returns the deployment of the Asociace, whose plain service takes
// bookings: nine engines, three service servers, nine daemons, eight workspaces and
// two trainers.
func Asociace() Deployment {
	d := Deployment{
		Name:        "Asociace",
		Region:      "cz-stred",
		Domains:     []fleet.FailureDomain{"praha-a", "praha-b", "kladno"},
		Daemons:     9,
		Workspaces:  workspaces("renter"),
		LiveRate:    17,
		ServiceRate: 6,
		Trainers: []Trainer{
			{Workspace: "renter-0", Groups: 16, Samples: 8, StepTime: 100 * time.Second, MeanTokens: 300},
			{Workspace: "renter-1", Groups: 16, Samples: 8, StepTime: 100 * time.Second, MeanTokens: 300},
		},
	}
	d.Engines = engines(&d, 6, 3)
	d.Services = services(&d)
	return d
}

// Cosecha returns the deployment of the Cosecha Escolar, whose plain service takes
// orders: eleven engines, three service servers, eleven daemons, eight workspaces
// and four trainers.
func Cosecha() Deployment {
	d := Deployment{
		Name:        "Cosecha Escolar",
		Region:      "lima-centro",
		Domains:     []fleet.FailureDomain{"lima-a", "lima-b", "lima-c"},
		Daemons:     11,
		Workspaces:  workspaces("growers"),
		LiveRate:    9,
		ServiceRate: 6,
	}
	for i := range 4 {
		d.Trainers = append(d.Trainers, Trainer{
			Workspace:  d.Workspaces[i].Name,
			Groups:     24,
			Samples:    8,
			StepTime:   90 * time.Second,
			MeanTokens: 350,
		})
	}
	d.Engines = engines(&d, 6, 5)
	d.Services = services(&d)
	return d
}

// engines returns standard and spot engines, distributed over the failure
// domains.
func engines(d *Deployment, standard, spot int) []fleet.Server {
	var out []fleet.Server
	for i := range standard + spot {
		kind := fleet.Standard
		if i >= standard {
			kind = fleet.Spot
		}
		out = append(out, fleet.Server{
			ID:            fleet.ServerID(fmt.Sprintf("engine-%02d", i)),
			Region:        d.Region,
			FailureDomain: d.Domains[i%len(d.Domains)],
			Pool:          "models",
			Kind:          kind,
			State:         fleet.StateLive,
			Capacity:      engineSlots,
		})
	}
	return out
}

func services(d *Deployment) []fleet.Server {
	var out []fleet.Server
	for i, f := range d.Domains {
		out = append(out, fleet.Server{
			ID:            fleet.ServerID(fmt.Sprintf("service-%02d", i)),
			Region:        d.Region,
			FailureDomain: f,
			Pool:          "desk",
			Kind:          fleet.Standard,
			State:         fleet.StateLive,
			Capacity:      serviceSlots,
		})
	}
	return out
}

// workspaces returns eight workspaces; a few of them have most of the load.
func workspaces(prefix string) []Workspace {
	shares := []float64{0.30, 0.20, 0.15, 0.10, 0.09, 0.07, 0.05, 0.04}
	var out []Workspace
	for i, p := range shares {
		out = append(out, Workspace{
			Name:        fleet.Workspace(fmt.Sprintf("%s-%d", prefix, i)),
			Share:       p,
			Prefixes:    4,
			SpotAllowed: i%2 == 0,
		})
	}
	return out
}
