package duty

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/capacity"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// scaleInterval is the time between two computations of the servers that are
	// needed.
	scaleInterval = 500 * time.Millisecond
	// scaleTimeout bounds one order. The safety margin of the lease must cover it.
	scaleTimeout = 500 * time.Millisecond
	// reorderAfter is the time, in addition to the start-up time of a server,
	// after which an order is repeated if its servers are missing.
	reorderAfter = 3 * time.Second
	// unavailableBackoff is the delay after the platform had no servers available.
	unavailableBackoff = 2 * time.Second
)

// ErrNoServers is returned when the platform currently has no servers of the
// requested kind.
var ErrNoServers = errors.New("duty: no servers available on the platform")

// Scaler orders servers from the platform.
type Scaler interface {
	// Scale requests that a service have a number of spot servers in a failure
	// domain. Its error is ErrNoServers if the platform has none available.
	Scale(ctx context.Context, holder string, fence int64, service, domain string, spot int) error
}

// Scale orders servers according to the demand of batch jobs. Use NewScale.
type Scale struct {
	fleet  *fleet.State
	holder Holder
	log    *zap.Logger
	// rate returns the tokens per second that trainers request from a model.
	rate   func(model string) float64
	scaler Scaler
	self   string
	// orders holds the newest order for each service and failure domain.
	orders map[target]scaleOrder
}

// target identifies a service in a failure domain.
type target struct {
	service, domain string
}

// scaleOrder is an order that was sent.
type scaleOrder struct {
	spot int
	// againAt is when the order may be sent again.
	againAt time.Time
}

// NewScale returns a Scale that orders servers while h holds the duty.
func NewScale(f *fleet.State, c Scaler, h Holder, rate func(model string) float64, self string, log *zap.Logger) *Scale {
	return &Scale{fleet: f, holder: h, log: log, rate: rate, scaler: c, self: self, orders: make(map[target]scaleOrder)}
}

// Serve orders servers until the context ends.
func (s *Scale) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		fleet.Sleep(ctx, scaleInterval)
		if _, err := s.holder.Check(); err != nil {
			clear(s.orders)
			continue
		}
		if c := s.fleet.Config(); c != nil {
			for _, service := range c.Services {
				s.orderDue(ctx, service)
			}
		}
	}
	return nil
}

// orderDue sends the orders that are due for a service.
func (s *Scale) orderDue(ctx context.Context, service route.Service) {
	if service.Scaling == nil {
		return
	}
	domains, slots := s.domains(service)
	if len(domains) == 0 {
		return
	}
	rate := 0.0
	for _, m := range service.Models {
		rate += s.rate(m)
	}
	needed := capacity.Needed(rate, float64(slots)/schedule.DefaultPace.Seconds())
	b := capacity.Bounds{Max: service.Scaling.Max, HasSpot: service.Scaling.SpotPrice > 0}
	now := time.Now()
	for i, o := range capacity.Distribute(needed, domains, b) {
		t := target{service.Name, o.Domain}
		last := s.orders[t]
		missing := domains[i].Spot < o.Spot
		if o.Spot < max(last.spot, domains[i].Spot) || !missing || o.Spot == last.spot && now.Before(last.againAt) {
			// Orders are never reduced: the next training step needs the servers again.
			continue
		}
		s.order(ctx, t, o.Spot, service.Scaling.BootTime)
	}
}

// order sends an order for a number of spot servers.
func (s *Scale) order(ctx context.Context, t target, spot int, bootTime time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, scaleTimeout)
	defer cancel()
	fence, err := s.holder.Check()
	if err != nil || s.fleet.Evacuated().Contains(t.domain) {
		return
	}
	err = s.scaler.Scale(ctx, s.self, fence, t.service, t.domain, spot)
	s.log.Info("servers ordered", zap.String("Service", t.service), zap.String("Domain", t.domain),
		zap.Int("Spot", spot), zap.Int64("Fence", fence), zap.Error(err))
	wait := bootTime + reorderAfter
	if errors.Is(err, ErrNoServers) {
		wait = unavailableBackoff
	}
	s.orders[t] = scaleOrder{spot: spot, againAt: time.Now().Add(wait)}
}

// domains returns the failure domains of a service with their numbers of servers,
// and the largest number of slots of any server.
func (s *Scale) domains(service route.Service) ([]capacity.Domain, int) {
	found := make(map[string]*capacity.Domain)
	slots := 0
	for _, v := range s.fleet.Servers().List {
		if v.Service != service.Name || v.Draining {
			continue
		}
		d := found[v.Domain]
		if d == nil {
			d = &capacity.Domain{Name: v.Domain, Price: service.Scaling.Prices[v.Domain]}
			found[v.Domain] = d
		}
		if v.Spot {
			d.Spot++
		} else {
			d.Standard++
		}
		slots = max(slots, v.Slots)
	}
	var out []capacity.Domain
	for _, name := range slices.Sorted(maps.Keys(found)) {
		out = append(out, *found[name])
	}
	return out, slots
}
