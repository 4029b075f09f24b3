package fleet

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// knownInterval is the time between two questions to peers while this
	// daemon has no configuration.
	knownInterval = 250 * time.Millisecond
	// knownTimeout bounds one question.
	knownTimeout = 400 * time.Millisecond
	// knownPeers bounds the peers that are asked at a time.
	knownPeers = 3
)

// known is what a daemon has last read of the operators' and the servers' rows
// and of the other daemons.
type known struct {
	Operator []store.Row
	Servers  []store.Row
	Members  []Member
}

// Handle tells peers what this daemon knows, and hears from them.
func (f *State) Handle(m *wire.Mux) {
	m.Handle(wire.KindLoads, f.handleLoads)
	m.Handle(wire.KindKnown, func(context.Context, netip.AddrPort, []byte) (any, error) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		k := known{Servers: f.serverRows, Members: f.Members().List}
		for _, r := range f.operatorRows {
			k.Operator = append(k.Operator, r)
		}
		return k, nil
	})
}

// ServeKnown asks peers for the configuration while this daemon, just started,
// can't read it: the store may be away from all daemons, and then nobody can
// have been told of a newer one.
func (f *State) ServeKnown(ctx context.Context, c wire.Caller, peers func() []netip.AddrPort) error {
	for ctx.Err() == nil && f.Config() == nil {
		Sleep(ctx, knownInterval)
		if f.Config() != nil {
			break
		}
		all := peers()
		for _, p := range all[:min(knownPeers, len(all))] {
			f.ask(ctx, c, p)
		}
	}
	<-ctx.Done()
	return nil
}

// ask takes what one peer knows.
func (f *State) ask(ctx context.Context, c wire.Caller, p netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout)
	defer cancel()
	var k known
	if err := c.Call(ctx, p, wire.KindKnown, struct{}{}, &k); err != nil {
		f.log.Info("peer not asked", zap.Stringer("Peer", p), zap.Error(err))
		return
	}
	f.log.Info("peer told what it knows", zap.Stringer("Peer", p), zap.Int("Operator", len(k.Operator)), zap.Int("Servers", len(k.Servers)))
	f.adopt(k.Operator)
	if len(f.Servers().List) == 0 {
		var d directory
		f.takeServers(&d, k.Servers, Uptime())
	}
	if len(f.Members().List) == 0 {
		f.members.Store(&Members{List: k.Members})
	}
}
