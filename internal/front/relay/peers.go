package relay

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// candidates returns up to maxPeers peers to relay a call with a context: first the peer that
// last relayed one successfully, then those that have not failed recently. If
// there is none of either, it returns peers that failed.
func (s *Store) candidates(ctx context.Context) []netip.AddrPort {
	all := slices.DeleteFunc(slices.Clone(s.peers()), func(p netip.AddrPort) bool { return !store.MayPass(ctx, p) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	var out, failed []netip.AddrPort
	if s.lastPeer.IsValid() && store.MayPass(ctx, s.lastPeer) {
		out = append(out, s.lastPeer)
	}
	s.nextPeer++
	for n := range all {
		p := all[(s.nextPeer+n)%len(all)]
		switch {
		case p == s.lastPeer:
		case now.Before(s.backoffUntil[p]):
			failed = append(failed, p)
		default:
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		out = failed
	}
	return out[:min(maxPeers, len(out))]
}

// recordCall records whether a peer answered, and whether it reached the store.
func (s *Store) recordCall(p netip.AddrPort, answered, reached bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answered {
		s.answeredAt = time.Now()
	}
	if reached {
		s.lastPeer = p
		delete(s.backoffUntil, p)
		return
	}
	if s.lastPeer == p {
		s.lastPeer = netip.AddrPort{}
	}
	if s.backoffUntil == nil {
		s.backoffUntil = make(map[netip.AddrPort]time.Time)
	}
	s.backoffUntil[p] = time.Now().Add(peerBackoff)
}
