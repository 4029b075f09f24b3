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
	// queryInterval is the time between two rounds of queries to peers while
	// this daemon has no configuration.
	queryInterval = 250 * time.Millisecond
	// queryTimeout bounds one query.
	queryTimeout = 400 * time.Millisecond
	// queryPeers is the maximum number of peers queried in one round.
	queryPeers = 3
)

// knownRows holds the operators' and the servers' rows that a daemon last read,
// and the daemons that it considers alive.
type knownRows struct {
	Operator []store.Row
	// OperatorVersion is the store's version up to which Operator contains all evacuations; 0
	// if that is not known, or from an earlier build.
	OperatorVersion int64
	Servers         []store.Row
	Members         []Member
}

// Handle registers the handlers that receive load notifications from peers and
// return this daemon's rows to them.
func (f *State) Handle(m *wire.Mux) {
	m.Handle(wire.KindLoads, f.handleLoads)
	m.Handle(wire.KindCachedState, func(context.Context, netip.AddrPort, []byte) (any, error) { return f.knownRows(), nil })
}

// knownRows returns the rows for a peer.
func (f *State) knownRows() knownRows {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	k := knownRows{Servers: f.serverRows, Members: f.Members().List, OperatorVersion: f.evacuations.asOf}
	for _, r := range f.operatorRows {
		k.Operator = append(k.Operator, r)
	}
	for _, r := range f.evacuations.rows {
		k.Operator = append(k.Operator, r)
	}
	return k
}

// ServePeerQueries queries peers for the configuration until this daemon has
// one. A daemon that starts while the store is unreachable can't read it; if the
// store is unreachable from all daemons, no daemon can have a newer one.
func (f *State) ServePeerQueries(ctx context.Context, c wire.Caller, peers func() []netip.AddrPort) error {
	for ctx.Err() == nil && f.Config() == nil {
		Sleep(ctx, queryInterval)
		if f.Config() != nil {
			break
		}
		all := peers()
		for _, p := range all[:min(queryPeers, len(all))] {
			f.queryPeer(ctx, c, p)
		}
	}
	<-ctx.Done()
	return nil
}

// queryPeer requests the rows of one peer and applies them.
func (f *State) queryPeer(ctx context.Context, c wire.Caller, p netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var k knownRows
	if err := c.Call(ctx, p, wire.KindCachedState, struct{}{}, &k); err != nil {
		f.log.Info("peer query failed", zap.Stringer("Peer", p), zap.Error(err))
		return
	}
	f.log.Info("peer query answered", zap.Stringer("Peer", p), zap.Int("Operator", len(k.Operator)), zap.Int("Servers", len(k.Servers)))
	f.applyOperator(Update{Rows: k.Operator, Complete: k.OperatorVersion > 0, Version: k.OperatorVersion})
	if len(f.Servers().List) == 0 {
		var d directory
		d.apply(Update{Rows: k.Servers, Complete: true})
		f.updateServers(&d, Uptime())
	}
	if len(f.Members().List) == 0 {
		f.members.Store(&Members{List: k.Members})
	}
}
