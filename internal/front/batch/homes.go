package batch

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// homeRetryDelay is the delay after which callers should submit a job again for which no server
// or daemon is available in its regions.
const homeRetryDelay = time.Second

// SetDomain sets the failure domain of this daemon. It must be called before Serve.
func (r *Runner) SetDomain(domain string) {
	r.domain = domain
}

// homes returns the regions in which a job's items may be processed.
func (r *Runner) homes(h Head) route.Homes {
	return r.fleet.Config().JobHomes(h.Routes, h.Workspace)
}

// allowsOf returns whether a job's items may be processed in a failure domain; nil if they may in
// all.
func (r *Runner) allowsOf(h Head) func(domain string) bool {
	homes := r.homes(h)
	if !homes.Restricted() {
		return nil
	}
	return func(domain string) bool { return homes.Allows(r.fleet.Region(domain)) }
}

// excluded reports whether a job's items may not be processed by this daemon.
func (r *Runner) excluded(j *job) bool {
	allows := r.allowsOf(j.head)
	return allows != nil && !allows(r.domain)
}

// homeContext returns a context for calls of the store that carry the items of a job: they pass
// through peers in its regions only.
func (r *Runner) homeContext(ctx context.Context, h Head) context.Context {
	allows := r.allowsOf(h)
	if allows == nil {
		return ctx
	}
	return store.WithPeers(ctx, func(a netip.AddrPort) bool {
		return slices.ContainsFunc(r.fleet.Members().List, func(m fleet.Member) bool { return m.Address == a && allows(m.Domain) })
	})
}

// releaseExcluded stops the items that may no longer be processed by this daemon, and drops them
// once they are in the store and another daemon may have them. It is called with the mutex held.
func (r *Runner) releaseExcluded() {
	for _, j := range r.jobs {
		if j.ended || len(j.items) == 0 || !r.excluded(j) {
			continue
		}
		hasTakers := len(r.owners().takersOf(j).List) > 0
		for id, i := range j.items {
			i.stopAll()
			r.dropReturning(id)
			stopped := i.stop == nil && len(i.reward.stops) == 0
			if hasTakers && !i.done && stopped && (i.progress.Lineage == "" || i.isCheckpointed()) {
				delete(j.items, id)
				r.log.Info("item left to daemons in its regions", zap.String("Job", j.head.ID), zap.String("Item", id), zap.Int("After", i.progress.After))
			}
		}
	}
}

// abandonUnassigned abandons the items of a job past its GiveUpAt that no daemon in its regions
// could load. It is called with the mutex held.
func (r *Runner) abandonUnassigned(j *job) {
	if r.allowsOf(j.head) == nil || len(r.owners().takersOf(j).List) > 0 {
		return
	}
	for _, h := range j.head.Items {
		if j.items[h.ID] == nil && r.fleet.Members().Pick(h.ID) == r.self {
			i := &item{Item: Item{ID: h.ID, Group: h.Group}}
			j.put(i)
			r.finish(i, Abandoned, refusal.ReasonHome)
		}
	}
}

// routeNames returns the names of the routes of a job's items and reward calls.
func (s *Service) routeNames(j Submission) []string {
	c := s.fleet.Config()
	var out []string
	add := func(host, target string) {
		if r, ok := c.Route(host, path(target)); ok && !slices.Contains(out, r.Name) {
			out = append(out, r.Name)
		}
	}
	for _, i := range j.Items {
		add(j.Host, i.Target)
		if i.Reward != nil {
			add(i.Reward.Host, i.Reward.Target)
		}
	}
	return out
}

// runnersFor returns the daemons to which the items of a job with some routes may be assigned.
// Its error is a *refusal.Error if no server or daemon is available in its regions.
func (s *Service) runnersFor(j Submission, routes []string) ([]fleet.Member, error) {
	allows := s.runner.allowsOf(Head{Routes: routes, Workspace: j.Workspace})
	if allows == nil {
		return s.runner.runners(), nil
	}
	c := s.fleet.Config()
	for _, i := range j.Items {
		target, ok := c.Route(j.Host, path(i.Target))
		if ok && !s.hasServer(target.Service(i.ID), allows) {
			return nil, refusal.NotRun(refusal.ReasonHome, time.Now().Add(homeRetryDelay), nil)
		}
	}
	home := s.runner.homeRunners(allows)
	if len(home) == 0 {
		return nil, refusal.NotRun(refusal.ReasonHome, time.Now().Add(homeRetryDelay), nil)
	}
	return home, nil
}

// hasServer reports whether a service has a server in use in the domains that are allowed.
func (s *Service) hasServer(service string, allows func(domain string) bool) bool {
	for _, v := range s.fleet.Servers().List {
		if v.Service == service && !v.Draining && allows(v.Domain) {
			return true
		}
	}
	return false
}

// homeRunners returns the daemons that run items, of those in the domains that are allowed.
func (r *Runner) homeRunners(allows func(domain string) bool) []fleet.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	o := r.owners()
	home := membersIn(o.members.Active(), allows)
	if len(home.List) == 0 {
		return nil
	}
	return home.Reaching(o.self, o.partitioned).LargestByShare(runnerCount(o.slots)).List
}

// membersIn returns the daemons in the domains that are allowed.
func membersIn(all []fleet.Member, allows func(domain string) bool) *fleet.Members {
	out := &fleet.Members{}
	for _, m := range all {
		if allows(m.Domain) {
			out.List = append(out.List, m)
		}
	}
	return out
}
