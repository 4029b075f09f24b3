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

// tableCalls is a daemon's budget of table calls a second. Claims of requests
// that may not be repeated are its largest user.
const tableCalls = 100

// keeper is the keeper of one duty, with the duty's name.
type keeper struct {
	*lease.Keeper

	duty fleet.Duty
}

// parts are the parts of one daemon. All are set.
type parts struct {
	log       *zap.Logger
	metrics   *telemetry.Metrics
	readiness *telemetry.Readiness
	self      fleet.Member
	settings  settings.Settings
	timeline  *timeline.Log
	// recorder counts events and passes them to timeline.
	recorder timeline.Recorder

	identity *mtls.Identity
	counters *wire.Counters
	client   *wire.Client
	mux      *wire.Mux

	loop    *loop.Loop
	member  *member.Runtime
	servers *server.Registry
	tracker *serverTracker

	// backend makes the exchanges of control work with backend servers.
	backend *exchange.Client
	table   table.Table
	vmlist  vmlist.Service
	weights weights.Service

	dispatcher *grant.Dispatcher
	gate       *grant.Client
	claims     *claim.Store
	suspects   *suspect.Runtime
	running    *proxy.ActiveRequests
	options    proxy.Options
	generator  *proxy.Generator
	rollout    rollout.Dependencies
	runner     *rollout.Runner
	writer     *window.Writer
	keepers    []keeper
}

func newParts(s settings.Settings, self fleet.Member, log *zap.Logger) (*parts, error) {
	identity, err := mtls.Load(mtls.Files{CA: s.TLS.CA, Certificate: s.TLS.Certificate, Key: s.TLS.Key})
	if err != nil {
		return nil, err
	}
	p := &parts{
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
	p.addTimeline()
	p.client = wire.NewClient(self.ID.Address, wire.DialTLS(identity), p.counters, wire.WithClock(p.timeline))
	p.addPlatform()
	p.tracker = &serverTracker{parts: p}
	p.addView()
	p.addTraffic()
	p.addDuties()
	statusSource{parts: p}.Handle(p.mux)
	return p, nil
}

func (p *parts) addDuties() {
	region := p.self.Region
	orders := order.NewHTTP(p.settings.Platform.Orders)
	reports := usage.NewHTTP(p.settings.Platform.Usage)
	dial := func(s fleet.Server) engine.Engine { return engine.NewHTTP(s.Address, p.backend) }
	p.addKeeper(window.NewDuty(p.table, reports, region, p.self.ID.Incarnation, p.recorder))
	p.addKeeper(weight.NewDuty(weight.Policy{Regions: len(p.settings.Regions)}, dial, p.weights, p.member, region, p.recorder))
	p.addKeeper(scale.NewDuty(p.table, orders, p.member, region, p.domains(), p.tracker.demand, p.recorder))
}

func (p *parts) addKeeper(d lease.Duty) {
	k := lease.NewKeeper(p.table, p.member, p.member, p.self, d, lease.WithLog(p.log), lease.WithRecorder(p.recorder))
	p.keepers = append(p.keepers, keeper{Keeper: k, duty: d.Name()})
}

func (p *parts) addPlatform() {
	http := table.NewHTTP(p.settings.Platform.Table)
	p.table = table.Resolver{Table: table.NewRateLimited(http, tableCalls)}
	p.vmlist = vmlist.NewHTTP(p.settings.Platform.VMList)
	p.weights = weights.NewHTTP(p.settings.Platform.Weights)
}

func (p *parts) addTimeline() {
	var options []timeline.Option
	if p.settings.Log.TimeLine {
		options = append(options, timeline.WithOutput(os.Stderr))
	}
	p.timeline = timeline.New(p.self.ID.Address.String(), p.self.ID.Incarnation, options...)
	p.timeline.Handle(p.mux)
	p.recorder = p.metrics.Recorder(p.timeline)
}

func (p *parts) addTraffic() {
	p.dispatcher = grant.NewDispatcher(p.self, p.member, p.servers)
	p.dispatcher.Handle(p.mux)
	p.gate = grant.NewClient(p.self, p.client, p.member, p.servers, p.dispatcher, grant.WithRecorder(p.recorder))
	p.claims = claim.NewStore(p.table)
	p.suspects = suspect.New(suspect.Options{
		Caller:   p.client,
		Loop:     p.loop,
		Recorder: p.recorder,
		Self:     p.self.ID.Address,
		Source:   p.member,
		Table:    p.table,
	})
	p.suspects.Handle(p.mux)
	p.running = proxy.NewActiveRequests(p.member)
	p.writer = window.NewWriter(p.table, p.self.Region, p.self.ID.Incarnation)
	budget := &retryBudget{source: p.member}
	p.options = proxy.Options{
		Budget:   budget,
		Claims:   p.claims,
		Gate:     countingGate{Client: p.gate, budget: budget},
		Meter:    p.writer,
		Recorder: p.recorder,
		Source:   p.member,
		Suspects: p.suspects,
	}
	p.generator = proxy.NewGenerator(p.options)
	p.rollout = rollout.Dependencies{
		Events:    p.recorder,
		Generator: p.generator,
		Ledger:    batch.NewLedger(p.table, object.NewHTTP(p.settings.Platform.Objects), p.self.ID.Incarnation),
		Self:      p.self.ID,
		View:      p.member,
		Weights:   p.weights,
	}
	p.runner = rollout.NewRunner(p.rollout)
}

func (p *parts) addView() {
	p.member = member.New(p.loop, p.table, p.client, p.self,
		member.WithSeeds(p.settings.Seeds),
		member.WithLog(p.log),
		member.WithRecorder(p.recorder),
		member.WithVMDeleted(p.tracker.gone),
	)
	p.member.Register(p.mux)
}

// domains returns the failure domains of the daemon's region.
func (p *parts) domains() []fleet.FailureDomain {
	for _, r := range p.settings.Regions {
		if r.Name == p.self.Region {
			return r.FailureDomains
		}
	}
	return nil
}

func (p *parts) record(e timeline.Event) {
	p.recorder.Record(e)
}

func (p *parts) store() config.Store {
	return config.Store{Table: p.table}
}

func startedEvent() timeline.Event {
	return timeline.Event{Kind: timeline.Started}
}
