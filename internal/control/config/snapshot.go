package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// builtInValues contains the values of settings that neither an exception nor a
// default sets.
var builtInValues = map[Setting]float64{
	MaxVersionLag:     2,
	MaxWaiting:        512,
	RequestsPerSecond: 1000,
	RetryShare:        0.1,
	SwapsPerSecond:    0,
	TokensPerSecond:   1_000_000,
	Weight:            1,
}

// Snapshot is an immutable, indexed copy of one Config. It is safe for
// concurrent use.
type Snapshot struct {
	// Config is the document; it must not be changed after NewSnapshot.
	Config Config
	// keys maps the hashes of the keys that are not withdrawn to workspaces.
	keys       map[[sha256.Size]byte]fleet.Workspace
	exceptions map[exceptionKey]float64
	pools      map[fleet.Pool]Pool
	// routes is ordered by descending length of the path.
	routes []Route
	drains map[fleet.FailureDomain]bool
}

type exceptionKey struct {
	workspace fleet.Workspace
	setting   Setting
}

// HashKey returns the hash under which a key is stored.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// NewSnapshot indexes c, which must be valid.
func NewSnapshot(c Config) *Snapshot {
	s := &Snapshot{
		Config:     c,
		keys:       make(map[[sha256.Size]byte]fleet.Workspace, len(c.Keys)),
		exceptions: make(map[exceptionKey]float64, len(c.Exceptions)),
		pools:      make(map[fleet.Pool]Pool, len(c.Pools)),
		drains:     make(map[fleet.FailureDomain]bool, len(c.Drains)),
	}
	for _, k := range c.Keys {
		s.addKey(k)
	}
	for _, e := range c.Exceptions {
		s.exceptions[exceptionKey{workspace: e.Workspace, setting: e.Setting}] = e.Value
	}
	for _, p := range c.Pools {
		s.pools[p.Name] = p
	}
	for _, d := range c.Drains {
		s.drains[d.FailureDomain] = true
	}
	s.routes = append(s.routes, c.Routes...)
	sort.SliceStable(s.routes, func(i, j int) bool {
		return len(s.routes[i].Path) > len(s.routes[j].Path)
	})
	return s
}

// Drained reports whether operators have excluded a failure domain from use.
func (s *Snapshot) Drained(d fleet.FailureDomain) bool {
	return s.drains[d]
}

// Pool returns a pool by its name.
func (s *Snapshot) Pool(name fleet.Pool) (Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Route returns the route with the longest path that is a prefix of path and
// ends at a slash or at the end of path.
func (s *Snapshot) Route(path string) (Route, bool) {
	for _, r := range s.routes {
		if matchesPrefix(r.Path, path) {
			return r, true
		}
	}
	return Route{}, false
}

// Value returns the value of a setting for a workspace.
func (s *Snapshot) Value(setting Setting, w fleet.Workspace) float64 {
	if v, ok := s.exceptions[exceptionKey{workspace: w, setting: setting}]; ok {
		return v
	}
	if v, ok := s.Config.Defaults[setting]; ok {
		return v
	}
	return builtInValues[setting]
}

// Workspace returns the workspace of a key that is not withdrawn. It does not
// allocate.
func (s *Snapshot) Workspace(key string) (fleet.Workspace, bool) {
	w, ok := s.keys[sha256.Sum256([]byte(key))]
	return w, ok
}

func (s *Snapshot) addKey(k Key) {
	if !k.WithdrawnAt.IsZero() {
		return
	}
	var h [sha256.Size]byte
	if n, err := hex.Decode(h[:], []byte(k.Hash)); err != nil || n != sha256.Size {
		return
	}
	s.keys[h] = k.Workspace
}

func matchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
