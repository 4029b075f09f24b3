package wire

import (
	"context"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Memory is an in-process network of daemons for tests and models. The zero
// value is an empty network. Its methods may be called from any goroutine.
type Memory struct {
	mutex sync.Mutex
	muxes map[netip.AddrPort]*Mux
	cuts  map[link]Cut
}

// Cut is a fault of the calls on a link.
type Cut uint8

// Faults of a link. The zero value means no fault.
const (
	// CutRefused makes calls fail immediately with ErrNotSent.
	CutRefused Cut = iota + 1
	// CutUnresponsive blocks calls until their context ends.
	CutUnresponsive
	// CutAnswers lets the peer handle calls, but loses the answers.
	CutAnswers
)

type link struct {
	from netip.AddrPort
	to   netip.AddrPort
}

type memoryCaller struct {
	network *Memory
	from    netip.AddrPort
}

// Attach adds a daemon to the network and returns its Caller. A nil mux removes
// the daemon from the network.
func (m *Memory) Attach(at netip.AddrPort, mux *Mux) Caller {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.muxes == nil {
		m.muxes = make(map[netip.AddrPort]*Mux)
	}
	m.muxes[at] = mux
	return memoryCaller{network: m, from: at}
}

// SetCut sets the fault of the link from one daemon to another, in that
// direction. The zero Cut removes the fault.
func (m *Memory) SetCut(from, to netip.AddrPort, c Cut) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cuts == nil {
		m.cuts = make(map[link]Cut)
	}
	m.cuts[link{from: from, to: to}] = c
}

func (m *Memory) lookup(from, to netip.AddrPort) (*Mux, Cut) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.muxes[to], m.cuts[link{from: from, to: to}]
}

// Call implements Caller.
func (c memoryCaller) Call(ctx context.Context, to netip.AddrPort, k Kind, request, response any) error {
	mux, cut := c.network.lookup(c.from, to)
	if mux == nil || cut == CutRefused {
		return ErrNotSent
	}
	if cut == CutUnresponsive {
		<-ctx.Done()
		return errors.Wrap(ErrLost, ctx.Err().Error())
	}
	h := mux.Handler(k)
	if h == nil {
		return errors.Wrapf(ErrRemote, "no handler for kind %d", k)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	answer, err := h(ctx, c.from, body)
	if _, cut := c.network.lookup(c.from, to); cut == CutAnswers || cut == CutUnresponsive {
		<-ctx.Done()
		return errors.Wrap(ErrLost, ctx.Err().Error())
	}
	if err != nil {
		return errors.Wrap(ErrRemote, err.Error())
	}
	body, err = msgpack.Marshal(answer)
	if err != nil {
		return errors.Wrap(ErrRemote, err.Error())
	}
	return errors.Wrap(msgpack.Unmarshal(body, response), "wire: decode answer")
}
