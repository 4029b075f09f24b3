package member

import (
	"net/netip"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

// Ping requests the revisions and epochs known to a daemon. Pings and
// their answers are sent several times a second, so their fields are encoded by
// position.
type Ping struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	// Asker is the daemon that sends the ping.
	Asker Daemon
	// Known is the newest revisions known to the asker. It lets the receiver
	// detect new revisions from the pings that it receives, not only from the
	// answers to those that it sends.
	Known  Revisions
	Epochs []Epoch
}

// Pong answers a Ping. Its fields are those of view.Echo.
type Pong struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Answerer Daemon
	Held     Revisions
	Known    Revisions
	Epochs   []Epoch
	Ages     []byte
}

// Daemon is a fleet.Member with its fields encoded by position.
type Daemon struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Address       netip.AddrPort
	Incarnation   fleet.Incarnation
	Region        fleet.Region
	FailureDomain fleet.FailureDomain
}

// Epoch is a view.Epoch with its fields encoded by position.
type Epoch struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Duty     fleet.Duty
	Epoch    fleet.Epoch
}

// Revisions is a member.HeldRevisions with its fields encoded by position.
type Revisions struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Config   fleet.ConfigRevision
	Set      member.Revision
}

// RegionSet is the set of a region.
type RegionSet struct {
	Region fleet.Region
	Set    member.Set
}

// ViewAnswer contains the configuration and the sets that the asked daemon
// holds. Document is empty unless its configuration is newer than the asker's.
type ViewAnswer struct {
	Revision fleet.ConfigRevision
	// Document is the configuration in YAML.
	Document []byte
	Sets     []RegionSet
}

// ViewRequest requests the configuration and the sets that a daemon holds.
type ViewRequest struct {
	// Config is the revision that the asker holds.
	Config fleet.ConfigRevision
}

func (d Daemon) member() fleet.Member {
	id := fleet.MemberID{Address: d.Address, Incarnation: d.Incarnation}
	return fleet.Member{ID: id, Region: d.Region, FailureDomain: d.FailureDomain}
}

func (p Pong) echo() view.Echo {
	return view.Echo{
		Member: p.Answerer.member(),
		Held:   p.Held.held(),
		Known:  p.Known.held(),
		Epochs: viewEpochs(p.Epochs),
		Ages:   p.Ages,
	}
}

func (r Revisions) held() member.HeldRevisions {
	return member.HeldRevisions{Config: r.Config, Set: r.Set}
}

func daemonOf(m fleet.Member) Daemon {
	return Daemon{
		Address:       m.ID.Address,
		Incarnation:   m.ID.Incarnation,
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
	}
}

func epochsOf(es []view.Epoch) []Epoch {
	out := make([]Epoch, 0, len(es))
	for _, e := range es {
		out = append(out, Epoch{Duty: e.Duty, Epoch: e.Epoch})
	}
	return out
}

func pongOf(e view.Echo) Pong {
	return Pong{
		Answerer: daemonOf(e.Member),
		Held:     revisionsOf(e.Held),
		Known:    revisionsOf(e.Known),
		Epochs:   epochsOf(e.Epochs),
		Ages:     e.Ages,
	}
}

func revisionsOf(h member.HeldRevisions) Revisions {
	return Revisions{Config: h.Config, Set: h.Set}
}

func viewEpochs(es []Epoch) []view.Epoch {
	out := make([]view.Epoch, 0, len(es))
	for _, e := range es {
		out = append(out, view.Epoch{Duty: e.Duty, Epoch: e.Epoch})
	}
	return out
}
