package relay

import (
	"net/netip"
	"time"
)

// choices returns the peers to ask: first the one that passed a call on last,
// then those that have not failed lately.
func (s *Store) choices() []netip.AddrPort {
	all := s.peers()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	var out, failed []netip.AddrPort
	if s.last.IsValid() {
		out = append(out, s.last)
	}
	s.turn++
	for n := range all {
		p := all[(s.turn+n)%len(all)]
		switch {
		case p == s.last:
		case now.Before(s.restUntil[p]):
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

// note takes whether a peer answered, and whether it reached the store.
func (s *Store) note(p netip.AddrPort, answered, reached bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answered {
		s.heardAt = time.Now()
	}
	if reached {
		s.last = p
		delete(s.restUntil, p)
		return
	}
	if s.last == p {
		s.last = netip.AddrPort{}
	}
	if s.restUntil == nil {
		s.restUntil = make(map[netip.AddrPort]time.Time)
	}
	s.restUntil[p] = time.Now().Add(peerRest)
}
