// Package daemon assembles the components of a daemon on the platform's VMs,
// runs them and stops them in order.
package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/batch"
	"github.com/lacewingtally/lacewingtally/internal/front/duty"
	"github.com/lacewingtally/lacewingtally/internal/front/evacuate"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/forward"
	"github.com/lacewingtally/lacewingtally/internal/front/intake"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/peer"
	"github.com/lacewingtally/lacewingtally/internal/front/reach"
	"github.com/lacewingtally/lacewingtally/internal/front/relay"
	"github.com/lacewingtally/lacewingtally/internal/front/settings"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
	"github.com/lacewingtally/lacewingtally/internal/front/throttle"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// memoryFraction is the fraction of the daemon's memory to which the Go
	// runtime's soft memory limit is set.
	memoryFraction = 0.7
	megabyte       = 1 << 20
	// sampleInterval is the time between two updates of the gauges.
	sampleInterval = time.Second
	// minLeavingShare is the part of the requests from which it is logged that they leave the
	// failure domain.
	minLeavingShare = 0.1
)

// Dependencies are the daemon's dependencies: mostly adapters to the platform. All
// fields are required.
type Dependencies struct {
	Codec fleet.Codec
	Store store.Store
	// DialServer connects to a backend server. Servers returns the client of the servers,
	// which connects with the Dialer and reports to the observer what servers announce in
	// their responses.
	DialServer backend.Dialer
	Servers    func(backend.Observer, backend.Dialer) backend.Client
	Reporter   duty.Reporter
	Scaler     duty.Scaler
	// Callers returns the handler of callers' requests. Its last parameter reports
	// whether the daemon is leaving.
	Callers func(*forward.Forwarder, *batch.Service, func() bool) http.Handler
	// Settings passes changed settings to adopt until the context ends.
	Settings func(ctx context.Context, adopt func(settings.Settings))
	// Metrics counts what the daemon does. LinesLeftOut returns the number of
	// log lines that were not written.
	Metrics      *metrics.Metrics
	LinesLeftOut func() int64
	// Ready returns the handler of the balancer's readiness checks.
	Ready func(func() bool) http.Handler
}

// daemon is a running daemon.
type daemon struct {
	settings     settings.Settings
	dependencies Dependencies
	log          *zap.Logger
	self         string

	calls     *wire.Client
	counters  wire.Counters
	mux       wire.Mux
	relay     *relay.Store
	reach     *reach.Reach
	fleet     *fleet.State
	limits    *throttle.Limits
	runner    *batch.Runner
	keeper    *duty.Keeper
	weights   *duty.Weights
	balancer  *balance.Balancer
	meter     *duty.Meter
	usage     *duty.Usage
	scale     *duty.Scale
	forwarder *forward.Forwarder
	// peerRequests runs live requests of other daemons.
	peerRequests *peer.Server
	jobs         *batch.Service
	sweeper      *batch.Sweeper
	leaving      atomic.Bool
	// seeds are the seeds of the newest settings.
	seeds atomic.Pointer[[]netip.AddrPort]
	// budget is what callers' requests may hold, and callers guards their connections.
	budget  *intake.Budget
	callers *intake.Guard
}

// Run runs a daemon until the context ends and its work is handed over.
func Run(ctx context.Context, s settings.Settings, p Dependencies, log *zap.Logger) error {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(s.MemoryMB*megabyte)))
	}
	d := build(s, p, log)
	d.log.Info("daemon started", zap.String("Machine", s.Machine), zap.String("Domain", s.Domain), zap.String("Member", d.self))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := d.listen(work, s.Listen.Callers, p.Callers(d.forwarder, d.jobs, d.leaving.Load), d.callers)
	if err != nil {
		return err
	}
	ready, err := d.listen(work, s.Listen.Ready, p.Ready(d.ready), d.newCheckGuard(listenerReady))
	if err != nil {
		return err
	}
	if s.Listen.Metrics.IsValid() {
		if _, err := d.listen(work, s.Listen.Metrics, p.Metrics, d.newCheckGuard(listenerMetrics)); err != nil {
			return err
		}
	}
	services := d.supervisor()
	done := services.ServeBackground(work)
	<-ctx.Done()
	d.leave(callers)
	stop()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error("background services did not stop cleanly", zap.Error(err))
	}
	d.calls.Close()
	if err := ready.Close(); err != nil {
		d.log.Info("cannot close listener", zap.Error(err))
	}
	d.log.Info("daemon stopped")
	return nil
}

func build(s settings.Settings, p Dependencies, log *zap.Logger) *daemon {
	self := s.Machine + "/" + uuid.NewString()[:8]
	d := &daemon{settings: s, dependencies: p, log: log, self: self, budget: intake.NewBudget(s.MemoryMB * megabyte)}
	d.callers = d.newCallersGuard()
	d.applySettings(s)
	d.calls = wire.NewClient(s.Listen.Peers, dialPeer, &d.counters)
	d.relay = relay.New(p.Store, d.calls, d.peers, log)
	d.relay.Handle(&d.mux)
	d.fleet = fleet.New(d.relay, p.Codec, log)
	d.fleet.SetRegions(s.RegionsByDomain())
	ledger := batch.Ledger{Store: d.relay}
	d.meter = duty.NewMeter(d.fleet, d.relay, self, s.Bounds.UsageWindow, log)
	d.limits = throttle.NewLimits(d.fleet, self, log)
	d.reach = reach.New(d.fleet, p.DialServer, self, log)
	direct := reach.NewClient(p.Servers(observer{d.fleet, d.limits}, d.reach.Dial), d.reach)
	client := throttle.NewClient(evacuate.NewClient(direct, d.fleet), d.limits)
	d.balancer = &balance.Balancer{Domain: s.Domain, Limits: d.limits}
	d.forwarder = forward.New(d.fleet, client, d.balancer, d.meter, p.Metrics, self, log)
	d.forwarder.SetDialer(p.DialServer)
	d.forwarder.Handle(&d.mux)
	d.forwarder.AskPeers(d.calls, d.peers)
	d.forwarder.SetPeers(d.reach, peer.NewClient(d.calls, d.fleet, self, log))
	d.reach.OnPartition(d.onPartition)
	d.peerRequests = peer.NewServer(d.forwarder, d.fleet, d.reach.Partitioned, s.CoreShare, log)
	d.peerRequests.SetBudget(d.budget)
	d.peerRequests.Handle(&d.mux)
	d.runner = batch.NewRunner(d.fleet, ledger, client, d.limits, d.balancer, d.forwarder, p.Metrics, self, log)
	d.runner.SetDomain(s.Domain)
	if s.ShareSlots {
		d.runner.ShareSlots()
	}
	d.runner.Handle(&d.mux)
	d.runner.SetPath(d.reach, d.announce)
	d.fleet.Handle(&d.mux)
	d.jobs = batch.NewService(d.fleet, ledger, d.runner, log)
	d.sweeper = batch.NewSweeper(d.fleet, ledger, s.Bounds.KeepResults, self, log)
	d.keeper = duty.NewKeeper(d.fleet, d.relay, self, s.Machine, s.Bounds.LeaseTerm, log)
	d.keeper.SetPartitioned(d.reach.Confirmed)
	d.weights = duty.NewWeights(d.fleet, client, d.limits, d.keeper, d.runner.ExpectedTokens, d.notifyLoads, self, log)
	d.usage = duty.NewUsage(d.fleet, d.relay, p.Reporter, d.keeper, self, s.Bounds.UsageWindow, s.Bounds.UsageLate, log)
	d.scale = duty.NewScale(d.fleet, p.Scaler, d.keeper, d.runner.TokenRate, self, log)
	return d
}

// applySettings applies those settings that can change while a daemon runs.
func (d *daemon) applySettings(s settings.Settings) {
	d.seeds.Store(&s.Seeds)
}

// supervisor returns the supervisor of all background services.
func (d *daemon) supervisor() *suture.Supervisor {
	s := suture.New("daemon", suture.Spec{EventHook: func(e suture.Event) {
		d.log.Error("supervisor event", zap.String("Event", e.String()))
	}})
	s.Add(service{"Peers", d.servePeers})
	s.Add(service{"Settings", func(ctx context.Context) error { d.dependencies.Settings(ctx, d.applySettings); return nil }})
	s.Add(service{"Sampler", d.sample})
	s.Add(service{"Relay", d.relay.Serve})
	s.Add(service{"Operator", d.fleet.ServeOperator})
	s.Add(service{"Servers", d.fleet.ServeServers})
	s.Add(service{"Known", func(ctx context.Context) error { return d.fleet.ServePeerQueries(ctx, d.calls, d.peers) }})
	s.Add(service{"Members", func(ctx context.Context) error { return d.fleet.ServeMembers(ctx, d.member) }})
	s.Add(service{"Reach", d.reach.Serve})
	s.Add(service{"Runner", d.runner.Serve})
	s.Add(service{"Keeper", d.keeper.Serve})
	s.Add(service{"Weights", d.weights.Serve})
	s.Add(service{"Meter", d.meter.Serve})
	s.Add(service{"Usage", d.usage.Serve})
	s.Add(service{"Scale", d.scale.Serve})
	if d.settings.Bounds.KeepResults > 0 {
		s.Add(service{"Sweeper", d.sweeper.Serve})
	}
	return s
}

// ready reports whether the daemon should get new connections. A daemon that is
// cut off from all others should not. While no daemon reaches the store, all of
// them stay ready, because none is a better choice.
func (d *daemon) ready() bool {
	return !d.leaving.Load() && d.fleet.Config() != nil && !d.relay.Isolated()
}

// sample updates the gauges, and logs how many log lines were left out since the
// last update, until the context ends.
func (d *daemon) sample(ctx context.Context) error {
	leftOut := int64(0)
	leaving := false
	for ctx.Err() == nil {
		fleet.Sleep(ctx, sampleInterval)
		running, waiting, scoring, open := d.runner.Counts()
		_, err := d.keeper.Check()
		s := metrics.Sample{
			ConfigAge: d.fleet.ConfigAge(), MembersAge: d.fleet.MembersAge(), DomainsEvacuated: d.fleet.Evacuated().Len(),
			DutyHeld: err == nil, ItemsRunning: running, ItemsWaiting: waiting, ItemsScoring: scoring, JobsOpen: open, JobsUnread: d.runner.Unread(), LeavingShare: d.balancer.Leaving(),
			LinesLeftOut: d.dependencies.LinesLeftOut(), Members: len(d.fleet.Members().List),
			Servers: len(d.fleet.Servers().List), ServersCold: d.limits.CountCold(), ServersLimited: d.limits.Count(), ServersSlowed: d.balancer.Slowed(),
			StoreAge: d.fleet.StoreAge(), StoreRelayed: d.relay.Unreachable(),
			Partitioned: d.reach.Partitioned(), Connections: d.callers.Connections(), IntakeBytes: d.budget.Used(),
		}
		if c := d.fleet.Config(); c != nil {
			s.ConfigVersion = c.Version
		}
		d.dependencies.Metrics.Sample(s)
		if !leaving && s.LeavingShare >= minLeavingShare || leaving && s.LeavingShare == 0 {
			leaving = !leaving
			d.log.Info("requests leave the failure domain", zap.Bool("Leaving", leaving), zap.Float64("Share", s.LeavingShare), zap.Int("Slowed", s.ServersSlowed))
		}
		d.dependencies.Metrics.Trainers(d.runner.Trainers())
		if s.LinesLeftOut > leftOut {
			d.log.Warn("log lines left out", zap.Int64("Lines", s.LinesLeftOut-leftOut))
			leftOut = s.LinesLeftOut
		}
	}
	return nil
}

// notifyLoads reports loads of weights to the daemons that run items.
func (d *daemon) notifyLoads(ctx context.Context, loads []fleet.Load) {
	d.fleet.NotifyLoads(ctx, d.calls, d.runner.Peers(), loads)
}

// peers returns the addresses of the other daemons, or the seeds until the
// members have been read.
func (d *daemon) peers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range d.fleet.Members().List {
		if m.ID != d.self {
			out = append(out, m.Address)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, a := range *d.seeds.Load() {
		if a != d.settings.Listen.Peers {
			out = append(out, a)
		}
	}
	return out
}

// observer is a backend.Observer.
type observer struct {
	*fleet.State
	*throttle.Limits
}

// service is a named background service of the supervisor.
type service struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error {
	return s.serve(ctx)
}

// String returns the name of the service for log lines.
func (s service) String() string {
	return s.name
}
