package forward

import (
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// mayTry reports whether the request may be sent to a server in the current round.
func (c *call) mayTry(s backend.Server) bool {
	return !c.tried[s.ID] && c.suitable(s)
}

// suitable reports whether a server has the request's software version and is in a failure
// domain in which the request may run.
func (c *call) suitable(s backend.Server) bool {
	return c.software.Or(s.Software) == s.Software && !c.evacuatedAtSender.Contains(s.Domain) && c.allowedIn(s.Domain)
}

// allowedIn reports whether the regions of the request allow a failure domain.
func (c *call) allowedIn(domain string) bool {
	return c.homes.Allows(c.fleet.Region(domain))
}

// excludedByRegion reports whether there are servers of the request's service, but none in use in
// its regions.
func (c *call) excludedByRegion() bool {
	if !c.homes.Restricted() {
		return false
	}
	found := false
	for _, s := range c.fleet.Servers().List {
		if s.Service == c.service && c.allowedIn(s.Domain) && !s.Draining {
			return false
		}
		found = found || s.Service == c.service
	}
	return found
}
