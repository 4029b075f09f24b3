package member

import (
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

// Ping asks a daemon what it knows. Its fields are encoded by position, since
// it is sent several times a second.
type Ping struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	// Member is the asker.
	Member fleet.Member
	// Known spares the asked daemon from hearing of news by its own pings
	// only.
	Known  member.Held
	Epochs []view.Epoch
}

// Pong answers a Ping. The fields are those of view.Echo.
type Pong struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Member   fleet.Member
	Held     member.Held
	Known    member.Held
	Epochs   []view.Epoch
	Ages     []byte
}

// RegionSet is the set of a region.
type RegionSet struct {
	Region fleet.Region
	Set    member.Set
}

// ViewAnswer gives what the asked daemon holds. Document is empty when the
// asker's configuration is as new.
type ViewAnswer struct {
	Revision fleet.ConfigRevision
	// Document is the YAML of the configuration.
	Document []byte
	Sets     []RegionSet
}

// ViewRequest asks for what a daemon holds.
type ViewRequest struct {
	// Config is the revision that the asker holds.
	Config fleet.ConfigRevision
}

func (p Pong) echo() view.Echo {
	return view.Echo{Member: p.Member, Held: p.Held, Known: p.Known, Epochs: p.Epochs, Ages: p.Ages}
}

func pongOf(e view.Echo) Pong {
	return Pong{Member: e.Member, Held: e.Held, Known: e.Known, Epochs: e.Epochs, Ages: e.Ages}
}
