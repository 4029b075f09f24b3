package forward

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// originQueryTimeout bounds the query of all peers for the origin of a stream.
	originQueryTimeout = time.Second
	// originCheckInterval is the time between two looks at the heartbeats during a query.
	originCheckInterval = 50 * time.Millisecond
	// originSettleTime is how long further answers are awaited after the first that contains a
	// version: a different version shows that the ID was used again.
	originSettleTime = 100 * time.Millisecond
)

// originAnswer is a peer's answer to a query for the origin of a stream.
type originAnswer struct {
	Software string
	Known    bool
	// Others are further versions that began a stream with the ID.
	Others []string
	// Complete is whether the peer has the records of all streams that it began within
	// originRetention. Earlier builds do not set it.
	Complete bool

	// from is the peer that answered.
	from netip.AddrPort
}

// versions returns the software versions in the answer.
func (a originAnswer) versions() []string {
	if !a.Known {
		return nil
	}
	return append([]string{a.Software}, a.Others...)
}

// Handle registers the handler that answers queries of peers for the origins of streams.
func (f *Forwarder) Handle(m *wire.Mux) {
	m.Handle(wire.KindStreamOrigin, func(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var k streamKey
		if err := msgpack.Unmarshal(body, &k); err != nil {
			return nil, errors.Wrap(err, "forward: stream origin")
		}
		versions, complete := f.origins.software(k)
		if len(versions) == 0 {
			return originAnswer{Complete: complete}, nil
		}
		return originAnswer{Software: versions[0], Known: true, Others: versions[1:], Complete: complete}, nil
	})
}

// AskPeers lets the Forwarder query peers for the origins of streams that have begun too
// lately to be in a heartbeat. It must be called before the first request.
func (f *Forwarder) AskPeers(c wire.Caller, peers func() []netip.AddrPort) {
	f.caller, f.peers = c, peers
}

// queryOrigin asks all peers which software versions began a stream. It returns the versions in
// their answers, or those that a heartbeat contains by then, and the peers that answered that
// they did not begin it.
func (f *Forwarder) queryOrigin(ctx context.Context, k streamKey) (versions []string, notAt set.Set[netip.AddrPort]) {
	if f.caller == nil {
		return nil, notAt
	}
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	peers := f.peers()
	answers := make(chan originAnswer, len(peers))
	for _, p := range peers {
		go func() {
			a := f.queryOriginOf(ctx, p, k)
			a.from = p
			answers <- a
		}()
	}
	t := time.NewTicker(originCheckInterval)
	defer t.Stop()
	var settled <-chan time.Time
	for missing := len(peers); missing > 0; {
		select {
		case a := <-answers:
			missing--
			versions = addVersions(versions, a.versions())
			if a.Complete && !a.Known {
				notAt.Add(a.from)
			}
			if settled == nil && len(versions) > 0 {
				settled = time.After(originSettleTime)
			}
		case <-settled:
			return versions, notAt
		case <-t.C:
			if reported := f.fleet.StreamSoftware(uint64(k)); len(reported) > 0 {
				return addVersions(versions, reported), notAt
			}
		}
	}
	return versions, notAt
}

// addVersions returns the versions in a and b.
func addVersions(a, b []string) []string {
	for _, v := range b {
		if !slices.Contains(a, v) {
			a = append(slices.Clip(a), v)
		}
	}
	return a
}

// queryOriginOf asks one peer; the zero answer stands for none.
func (f *Forwarder) queryOriginOf(ctx context.Context, p netip.AddrPort, k streamKey) originAnswer {
	var a originAnswer
	if err := f.caller.Call(ctx, p, wire.KindStreamOrigin, k, &a); err != nil {
		f.log.Debug("querying the origin of a stream failed", zap.Stringer("Peer", p), zap.Error(err))
	}
	return a
}
