package route

import (
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// Homes are the regions in which requests may be processed: any, or only those of a set, which
// may be empty. The zero value allows any region.
type Homes struct {
	restricted bool
	regions    set.Set[string]
}

// HomesIn returns Homes that allow only some regions.
func HomesIn(regions ...string) Homes {
	return Homes{restricted: true, regions: set.New(regions...)}
}

// Allows reports whether requests may be processed in a region. The region is empty if it is
// not known; then they may only if there is no restriction.
func (h Homes) Allows(region string) bool {
	return !h.restricted || region != "" && h.regions.Contains(region)
}

// Intersect returns the Homes that allow the regions that both allow.
func (h Homes) Intersect(o Homes) Homes {
	switch {
	case !h.restricted:
		return o
	case !o.restricted:
		return h
	}
	out := HomesIn()
	for _, r := range set.Sorted(h.regions) {
		if o.regions.Contains(r) {
			out.regions.Add(r)
		}
	}
	return out
}

// Restricted reports whether there is a restriction.
func (h Homes) Restricted() bool {
	return h.restricted
}

// String returns the regions in their order.
func (h Homes) String() string {
	switch {
	case !h.restricted:
		return "any region"
	case h.regions.Len() == 0:
		return "no region"
	}
	return "regions " + strings.Join(set.Sorted(h.regions), " ")
}

// Homes returns the Homes of a request on a route: what both the route and the workspace allow.
func (c *Config) Homes(r Route, workspace string) Homes {
	if c == nil {
		return r.Homes
	}
	return r.Homes.Intersect(c.WorkspaceHomes[workspace])
}

// JobHomes returns the Homes of a batch job of a workspace whose items and reward calls use the
// routes with some names. An item of an earlier build's job has no names: all routes for batch
// jobs count then.
func (c *Config) JobHomes(names []string, workspace string) Homes {
	if c == nil {
		return Homes{}
	}
	out := c.WorkspaceHomes[workspace]
	if !c.restricts {
		return out
	}
	for _, r := range c.Routes {
		for _, n := range names {
			if r.Name == n {
				out = out.Intersect(r.Homes)
			}
		}
		if len(names) == 0 && r.Kind == Batch {
			out = out.Intersect(r.Homes)
		}
	}
	return out
}
