package server

import (
	"maps"
	"slices"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Snapshot is an immutable copy of a Directory. It is safe for concurrent use.
type Snapshot struct {
	// Servers are the servers of the latest list, ordered by ID. Leaving
	// servers have StateLeaving.
	Servers []fleet.Server
	// Leaving are the IDs of servers that are known to be leaving and not yet
	// gone, in ascending order. It may contain servers that were never listed.
	Leaving []fleet.ServerID
	// Superseded is closed when a newer Snapshot exists. It is nil if the
	// snapshot was not created by a Registry.
	Superseded <-chan struct{}
	servers    map[fleet.ServerID]fleet.Server
	usable     map[fleet.ServerID]bool
	counts     map[RegionPool]int
}

// RegionPool identifies a pool in a region.
type RegionPool struct {
	Region fleet.Region
	Pool   fleet.Pool
}

// Count returns how many servers of a pool in a region may be given new work.
func (s *Snapshot) Count(p RegionPool) int {
	return s.counts[p]
}

// RegionPools returns the pools, by region, with servers that may be given new
// work, in no particular order.
func (s *Snapshot) RegionPools() []RegionPool {
	return slices.Collect(maps.Keys(s.counts))
}

// Server returns a server by its ID.
func (s *Snapshot) Server(id fleet.ServerID) (fleet.Server, bool) {
	v, ok := s.servers[id]
	return v, ok
}

// Usable reports whether a server may be given new work.
func (s *Snapshot) Usable(id fleet.ServerID) bool {
	return s.usable[id]
}

// UsableIn returns the servers of a pool in a region that may be given new
// work, ordered by ID.
func (s *Snapshot) UsableIn(r fleet.Region, p fleet.Pool) []fleet.Server {
	var out []fleet.Server
	for _, v := range s.Servers {
		if v.Region == r && v.Pool == p && s.usable[v.ID] {
			out = append(out, v)
		}
	}
	return out
}
