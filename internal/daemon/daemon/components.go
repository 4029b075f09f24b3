package daemon

import (
	"os"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/loop"
	"github.com/lacewingtally/lacewingtally/internal/caller/proxy"
	"github.com/lacewingtally/lacewingtally/internal/caller/rollout"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/control/claim"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"
	"github.com/lacewingtally/lacewingtally/internal/control/scale"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/control/weight"
	"github.com/lacewingtally/lacewingtally/internal/control/window"
	"github.com/lacewingtally/lacewingtally/internal/daemon/settings"
	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/grant"
	"github.com/lacewingtally/lacewingtally/internal/peer/member"
	"github.com/lacewingtally/lacewingtally/internal/peer/mtls"
	"github.com/lacewingtally/lacewingtally/internal/peer/suspect"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
	"github.com/lacewingtally/lacewingtally/internal/platform/object"
	"github.com/lacewingtally/lacewingtally/internal/platform/order"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/platform/usage"
	"github.com/lacewingtally/lacewingtally/internal/platform/vmlist"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

// tableCallsPerSecond limits the table calls of a daemon. Most of them are
// claims of requests that may not be repeated.
const tableCallsPerSecond = 100

// keeper keeps the lease of one duty.
type keeper struct {
	*lease.Keeper

	duty fleet.Duty
}

// components are the components of one daemon. All fields are set.
type components struct {
	log       *zap.Logger
	metrics   *telemetry.Metrics
	readiness *telemetry.Readiness
	self      fleet.Member
	settings  settings.Settings
	timeline  *timeline.Log
	// recorder counts events in metrics and forwards them to timeline.
	recorder timeline.Recorder

	identity *mtls.Identity
	counters *wire.Counters
	client   *wire.Client
	mux      *wire.Mux

	loop    *loop.Loop
	member  *member.Runtime
	servers *server.Registry
	tracker *serverTracker

	// backend is the client for control calls to backend servers.
	backend *exchange.Client
	table   table.Table
	vmlist  vmlist.Service
	weights weights.Service

	dispatcher *grant.Dispatcher
	gate       *grant.Client
	claims     *claim.Store
	suspects   *suspect.Runtime
	requests   *proxy.ActiveRequests
	options    proxy.Options
	generator  *proxy.Generator
	rollout    rollout.Dependencies
	runner     *rollout.Runner
	writer     *window.Writer
	keepers    []keeper
}

func newComponents(s settings.Settings, self fleet.Member, log *zap.Logger) (*components, error) {
	identity, err := mtls.Load(mtls.Files{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key})
	if err != nil {
		return nil, err
	}
	c := &components{
		log:       log,
		metrics:   telemetry.NewMetrics(),
		readiness: &telemetry.Readiness{},
		self:      self,
		settings:  s,
		identity:  identity,
		backend:   exchange.New(),
		counters:  &wire.Counters{},
		mux:       &wire.Mux{},
		loop:      loop.New(),
		servers:   server.NewRegistry(),
	}
	c.addTimeline()
	c.client = wire.NewClient(self.ID.Address, wire.DialTLS(identity), c.counters, wire.WithClock(c.timeline))
	c.addPlatform()
	c.tracker = &serverTracker{components: c}
	c.addView()
	c.addTraffic()
	c.addDuties()
	statusSource{components: c}.Handle(c.mux)
	return c, nil
}

func (c *components) addDuties() {
	region := c.self.Region
	orders := order.NewHTTP(c.settings.Platform.Orders)
	reports := usage.NewHTTP(c.settings.Platform.Usage)
	dial := func(s fleet.Server) engine.Engine { return engine.NewHTTP(s.Address, c.backend) }
	c.addKeeper(window.NewDuty(c.table, reports, region, c.self.ID.Incarnation, c.recorder))
	c.addKeeper(weight.NewDuty(weight.Policy{Regions: len(c.settings.Regions)}, dial, c.weights, c.member, region, c.recorder))
	c.addKeeper(scale.NewDuty(c.table, orders, c.member, region, c.domains(), c.tracker.demand, c.recorder))
}

func (c *components) addKeeper(d lease.Duty) {
	k := lease.NewKeeper(c.table, c.member, c.member, c.self, d, lease.WithLog(c.log), lease.WithRecorder(c.recorder))
	c.keepers = append(c.keepers, keeper{Keeper: k, duty: d.Name()})
}

func (c *components) addPlatform() {
	http := table.NewHTTP(c.settings.Platform.Table)
	c.table = table.Resolver{Table: table.NewRateLimited(http, tableCallsPerSecond)}
	c.vmlist = vmlist.NewHTTP(c.settings.Platform.VMList)
	c.weights = weights.NewHTTP(c.settings.Platform.Weights)
}

func (c *components) addTimeline() {
	var options []timeline.Option
	if c.settings.Log.TimeLine {
		options = append(options, timeline.WithOutput(os.Stderr))
	}
	c.timeline = timeline.New(c.self.ID.Address.String(), c.self.ID.Incarnation, options...)
	c.timeline.Handle(c.mux)
	c.recorder = c.metrics.Recorder(c.timeline)
}

func (c *components) addTraffic() {
	c.dispatcher = grant.NewDispatcher(c.self, c.member, c.servers)
	c.dispatcher.Handle(c.mux)
	c.gate = grant.NewClient(c.self, c.client, c.member, c.servers, c.dispatcher, grant.WithRecorder(c.recorder))
	c.claims = claim.NewStore(c.table)
	c.suspects = suspect.New(suspect.Options{
		Caller:   c.client,
		Loop:     c.loop,
		Recorder: c.recorder,
		Self:     c.self.ID.Address,
		Source:   c.member,
		Table:    c.table,
	})
	c.suspects.Handle(c.mux)
	c.requests = proxy.NewActiveRequests(c.member)
	c.writer = window.NewWriter(c.table, c.self.Region, c.self.ID.Incarnation)
	budget := &retryBudget{source: c.member}
	c.options = proxy.Options{
		Budget:   budget,
		Claims:   c.claims,
		Gate:     countingGate{Client: c.gate, budget: budget},
		Meter:    c.writer,
		Recorder: c.recorder,
		Source:   c.member,
		Suspects: c.suspects,
	}
	c.generator = proxy.NewGenerator(c.options)
	c.rollout = rollout.Dependencies{
		Events:    c.recorder,
		Generator: c.generator,
		Ledger:    batch.NewLedger(c.table, object.NewHTTP(c.settings.Platform.Objects), c.self.ID.Incarnation),
		Self:      c.self.ID,
		View:      c.member,
		Weights:   c.weights,
	}
	c.runner = rollout.NewRunner(c.rollout)
}

func (c *components) addView() {
	c.member = member.New(c.loop, c.table, c.client, c.self,
		member.WithSeeds(c.settings.Seeds),
		member.WithLog(c.log),
		member.WithRecorder(c.recorder),
		member.WithVMDeleted(c.tracker.vmDeleted),
	)
	c.member.Register(c.mux)
}

// domains returns the failure domains of the daemon's region.
func (c *components) domains() []fleet.FailureDomain {
	for _, r := range c.settings.Regions {
		if r.Name == c.self.Region {
			return r.FailureDomains
		}
	}
	return nil
}

func (c *components) record(e timeline.Event) {
	c.recorder.Record(e)
}

func (c *components) store() config.Store {
	return config.Store{Table: c.table}
}

func startedEvent() timeline.Event {
	return timeline.Event{Kind: timeline.Started}
}
