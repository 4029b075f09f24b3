package cell

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// maxCellServers is the mean number of servers per cell above which a pool is
// split into twice as many cells.
const maxCellServers = 12

// ID identifies a cell: part Index of the Of parts into which a pool's servers
// in a region are split. Of is a power of two, so that daemons whose VM lists
// differ by a few servers nearly always agree on it.
type ID struct {
	Region fleet.Region
	Pool   fleet.Pool
	Index  int
	Of     int
}

// Summary is the load of a cell as its dispatcher reports it.
type Summary struct {
	// Capacity is the number of slots, of which Free are not taken.
	Capacity int
	Free     int
	Waiting  int
}

// Busy returns the utilization of the cell: below 1 more slots are free than
// requests wait, above 1 more requests wait than slots are free. It is 1 for a
// cell without slots.
func (s Summary) Busy() float64 {
	if s.Capacity == 0 {
		return 1
	}
	return 1 + float64(s.Waiting-s.Free)/float64(s.Capacity)
}

// Choose returns the cell to ask for a grant: the one that the prefix hashes to,
// unless a second cell, picked at random, is clearly less busy. Without a prefix
// the first cell is random too. random(n) returns a number below n.
func Choose(r fleet.Region, p fleet.Pool, cells int, prefix uint64, load func(ID) float64, random func(int) int) ID {
	first := ID{Region: r, Pool: p, Of: cells, Index: random(cells)}
	if prefix != 0 {
		first.Index = int(mix(prefix) % uint64(cells))
	}
	if cells == 1 {
		return first
	}
	second := first
	second.Index = (first.Index + 1 + random(cells-1)) % cells
	slack := 0.0
	if prefix != 0 {
		slack = affinitySlack
	}
	if load(second)+slack < load(first) {
		return second
	}
	return first
}

// Contains reports whether a server belongs to the cell. The server must be of
// the cell's pool and region.
func (i ID) Contains(s fleet.ServerID) bool {
	return i.Of <= 1 || indexOf(s, i.Of) == i.Index
}

// Dispatcher returns the member that dispatches for the cell: the member of the
// cell's region that ranks highest for it, so that a change of members moves
// only the cells of the member that changed. The bool is false if the region
// has no members.
func (i ID) Dispatcher(members []fleet.Member) (fleet.Member, bool) {
	key := string(i.Region) + "/" + string(i.Pool) + "/" + strconv.Itoa(i.Index) + "/" + strconv.Itoa(i.Of)
	return Owner(key, members, func(m *fleet.Member) bool { return m.Region == i.Region })
}

// Servers returns the servers that belong to the cell.
func (i ID) Servers(all []fleet.Server) []fleet.Server {
	var out []fleet.Server
	for _, s := range all {
		if s.Region == i.Region && s.Pool == i.Pool && i.Contains(s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// Count returns the number of cells into which a number of servers is split.
func Count(servers int) int {
	cells := 1
	for servers > cells*maxCellServers {
		cells *= 2
	}
	return cells
}

// ForServer returns the cell that a server belongs to if its pool has the given
// number of servers in its region.
func ForServer(s fleet.Server, servers int) ID {
	cells := Count(servers)
	return ID{Region: s.Region, Pool: s.Pool, Index: indexOf(s.ID, cells), Of: cells}
}

// Owner returns the owner of a key by rendezvous hashing: the member that ranks
// highest for it among those that f selects. The bool is false if f selects
// none.
func Owner(key string, members []fleet.Member, f func(*fleet.Member) bool) (fleet.Member, bool) {
	var best fleet.Member
	var highest uint64
	found := false
	h := xxhash.Sum64String(key)
	for i := range members {
		m := &members[i]
		if !f(m) {
			continue
		}
		rank := mix(h ^ memberHash(m))
		if !found || rank > highest {
			best, highest, found = *m, rank, true
		}
	}
	return best, found
}

func indexOf(s fleet.ServerID, cells int) int {
	return int(xxhash.Sum64String(string(s)) % uint64(cells))
}

func memberHash(m *fleet.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	a := m.ID.Address.Addr().As16()
	_, _ = d.Write(a[:])
	port := m.ID.Address.Port()
	_, _ = d.Write([]byte{byte(port >> 8), byte(port)})
	_, _ = d.WriteString(string(m.ID.Incarnation))
	return d.Sum64()
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
