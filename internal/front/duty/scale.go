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
	// scaleInterval is the time between two looks at the servers that are
	// needed.
	scaleInterval = 500 * time.Millisecond
	// scaleTimeout bounds one order. The margin of a tenure covers it.
	scaleTimeout = 500 * time.Millisecond
	// reorderAfter is when an order is repeated whose servers are missing,
	// beyond the time that a server takes to start.
	reorderAfter = 3 * time.Second
	// unavailableWait is the wait after the platform had no such servers.
	unavailableWait = 2 * time.Second
)

// ErrNoServers says that the platform has no such servers at the moment.
var ErrNoServers = errors.New("duty: no such servers to be had")

// Scaler orders servers from the platform.
type Scaler interface {
	// Scale orders a number of spot servers of a service in a failure domain.
	// Its error is ErrNoServers if there are none.
	Scale(ctx context.Context, holder string, fence int64, service, domain string, spot int) error
}

// Scale orders servers by the work that jobs bring. Use NewScale.
type Scale struct {
	fleet  *fleet.State
	holder Holder
	log    *zap.Logger
	// rate returns the tokens of a model that trainers ask for in a second.
	rate   func(model string) float64
	scaler Scaler
	self   string
	// orders are the newest ones given, by service and domain.
	orders map[place]scaleOrder
}

// place is a service in a failure domain.
type place struct {
	service, domain string
}

// scaleOrder is an order given.
type scaleOrder struct {
	spot int
	// againAt is when it may be given again.
	againAt time.Time
}

// NewScale returns a Scale that acts while h holds.
func NewScale(f *fleet.State, c Scaler, h Holder, rate func(model string) float64, self string, log *zap.Logger) *Scale {
	return &Scale{fleet: f, holder: h, log: log, rate: rate, scaler: c, self: self, orders: make(map[place]scaleOrder)}
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
				s.step(ctx, service)
			}
		}
	}
	return nil
}

// step gives the orders that are due for a service.
func (s *Scale) step(ctx context.Context, service route.Service) {
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
	b := capacity.Bounds{Min: service.Scaling.Min, Max: service.Scaling.Max, HasSpot: service.Scaling.SpotPrice > 0}
	now := time.Now()
	for i, o := range capacity.Distribute(needed, domains, b) {
		p := place{service.Name, o.Domain}
		last := s.orders[p]
		missing := domains[i].Spot < o.Spot
		if o.Spot < max(last.spot, domains[i].Spot) || !missing || o.Spot == last.spot && now.Before(last.againAt) {
			// Servers that were ordered stay: the next step needs them again.
			continue
		}
		s.order(ctx, p, o.Spot, service.Scaling.BootTime)
	}
}

// order gives an order.
func (s *Scale) order(ctx context.Context, p place, spot int, bootTime time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, scaleTimeout)
	defer cancel()
	fence, err := s.holder.Check()
	if err != nil {
		return
	}
	err = s.scaler.Scale(ctx, s.self, fence, p.service, p.domain, spot)
	s.log.Info("servers ordered", zap.String("Service", p.service), zap.String("Domain", p.domain),
		zap.Int("Spot", spot), zap.Int64("Fence", fence), zap.Error(err))
	wait := bootTime + reorderAfter
	if errors.Is(err, ErrNoServers) {
		wait = unavailableWait
	}
	s.orders[p] = scaleOrder{spot: spot, againAt: time.Now().Add(wait)}
}

// domains returns the failure domains of a service, and the places of a server.
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
