// Package metrics counts a daemon's requests, attempts and state, and serves the
// metrics as text.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"
)

// Names of the metrics without the prefix, in alphabetical order.
const (
	AttemptSeconds   Name = "attempt_seconds"
	Attempts         Name = "attempts"
	ClientsLimited   Name = "clients_limited"
	ConfigAge        Name = "config_age_seconds"
	ConfigVersion    Name = "config_version"
	Connections      Name = "connections"
	DomainsEvacuated Name = "domains_evacuated"
	DutyHeld         Name = "duty_held"
	IntakeBytes      Name = "intake_bytes"
	ItemSeconds      Name = "item_seconds"
	ItemsRunning     Name = "items_running"
	ItemsScoring     Name = "items_scoring"
	ItemsWaiting     Name = "items_waiting"
	JobsOpen         Name = "jobs_open"
	JobsUnread       Name = "jobs_unread"
	LeavingShare     Name = "leaving_share"
	LinesLeftOut     Name = "log_lines_left_out"
	Members          Name = "members"
	MembersAge       Name = "members_age_seconds"
	Partitioned      Name = "partitioned"
	RequestSeconds   Name = "request_seconds"
	Requests         Name = "requests"
	ServerFailures   Name = "server_failures"
	Servers          Name = "servers"
	ServersCold      Name = "servers_cold"
	ServersLimited   Name = "servers_limited"
	ServersSlowed    Name = "servers_slowed"
	StepsLate        Name = "steps_late"
	StoreAge         Name = "store_answer_age_seconds"
	StoreRelayed     Name = "store_through_peers"
	TrainerBorrowed  Name = "trainer_slots_borrowed"
	TrainerRunning   Name = "trainer_items_running"
	TrainerShare     Name = "trainer_slots_share"
)

const (
	prefix = "lacewingtally_front"
	// Path is where the metrics are served.
	Path = "/metrics"
	// interval is the time between two updates of the scrape endpoint.
	interval = time.Second

	tagCause    = "cause"
	tagKind     = "kind"
	tagListener = "listener"
	tagModel    = "model"
	tagOutcome  = "outcome"
	tagServer   = "server"

	// maxServers is the maximum number of servers with their own label value.
	// Servers are labelled by address. A server that reuses an address also uses
	// its label.
	maxServers = 256
	// otherServer is the label value of all further servers.
	otherServer = "Other"
)

// buckets are the histogram buckets of request and attempt times, in seconds.
var buckets = tally.ValueBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 5, 10}

// Name is the name of a metric.
type Name string

// Names returns all names.
func Names() []Name {
	return []Name{
		AttemptSeconds, Attempts, ClientsLimited, ConfigAge, ConfigVersion, Connections, DomainsEvacuated, DutyHeld, IntakeBytes, ItemSeconds, ItemsRunning,
		ItemsScoring, ItemsWaiting, JobsOpen, JobsUnread, LeavingShare, LinesLeftOut, Members, MembersAge, Partitioned, RequestSeconds, Requests,
		ServerFailures, Servers, ServersCold, ServersLimited, ServersSlowed, StepsLate, StoreAge, StoreRelayed, TrainerBorrowed, TrainerRunning,
		TrainerShare,
	}
}

// Sample holds the values of a daemon's gauges at one time.
type Sample struct {
	// ConfigAge and MembersAge are the times since the last successful reads.
	ConfigAge     time.Duration
	ConfigVersion int64
	// Connections is the number of open connections of callers.
	Connections int
	// DomainsEvacuated is the number of failure domains that the operators evacuate.
	DomainsEvacuated int
	DutyHeld         bool
	// IntakeBytes is the number of bytes that callers' requests and their responses hold.
	IntakeBytes  int64
	ItemsRunning int
	ItemsScoring int
	ItemsWaiting int
	JobsOpen     int
	// JobsUnread is the number of jobs in the store that are listed and not read yet.
	JobsUnread int
	// LeavingShare is the largest part of the requests to a service that leaves the domain.
	LeavingShare float64
	LinesLeftOut int64
	Members      int
	MembersAge   time.Duration
	// Partitioned is whether the daemon is partitioned from the servers.
	Partitioned bool
	Servers     int
	// ServersCold is the number of servers that are cold.
	ServersCold int
	// ServersLimited is the number of servers that limit their rates.
	ServersLimited int
	// ServersSlowed is the number of servers expected to be slowed down now.
	ServersSlowed int
	StoreAge      time.Duration
	StoreRelayed  bool
}

// Metrics are the metrics of one daemon. The zero value discards everything; use
// New for metrics that are reported. Its methods may be called from any goroutine.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer
	scrape http.Handler

	mutex sync.Mutex
	// servers holds the addresses that have their own label value.
	servers map[string]bool
	// models holds the models that have their own label value.
	models map[string]bool
}

// New returns metrics that are reported until Close.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	r := reporter.NewReporter(reporter.Options{
		Registerer: registry, Gatherer: registry,
		DefaultTimerType: reporter.HistogramTimerType,
		OnRegisterError:  func(error) {},
	})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: r, Separator: reporter.DefaultSeparator, OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{scope: s, closer: c, scrape: r.HTTPHandler()}
}

// Attempt counts a finished attempt on the server with the given address, empty if it was
// made through a peer. Kind must be one of Kinds, and outcome one of Outcomes.
func (m *Metrics) Attempt(kind, outcome, server string, took time.Duration) {
	if m.scope == nil {
		return
	}
	m.scope.Tagged(map[string]string{tagKind: kind, tagOutcome: outcome}).Counter(string(Attempts)).Inc(1)
	m.scope.Tagged(map[string]string{tagKind: kind}).Histogram(string(AttemptSeconds), buckets).RecordValue(took.Seconds())
	if outcome != OutcomeAnswered && outcome != OutcomeMoved && server != "" {
		m.scope.Tagged(map[string]string{tagServer: m.serverLabel(server), tagOutcome: outcome}).Counter(string(ServerFailures)).Inc(1)
	}
}

// ClientLimited counts a client's connection that was closed, or its request that was
// refused, at a listener for a cause.
func (m *Metrics) ClientLimited(listener, cause string) {
	if m.scope == nil {
		return
	}
	m.scope.Tagged(map[string]string{tagListener: listener, tagCause: cause}).Counter(string(ClientsLimited)).Inc(1)
}

// ItemTime records the time that a completed item has spent for one of Causes.
func (m *Metrics) ItemTime(cause string, spent time.Duration) {
	if m.scope == nil {
		return
	}
	m.scope.Tagged(map[string]string{tagCause: cause}).Histogram(string(ItemSeconds), buckets).RecordValue(spent.Seconds())
}

// serverLabel returns the label value of a server: its address, or otherServer if
// maxServers others have their own.
func (m *Metrics) serverLabel(server string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.servers[server] {
		return server
	}
	if len(m.servers) >= maxServers {
		return otherServer
	}
	if m.servers == nil {
		m.servers = make(map[string]bool)
	}
	m.servers[server] = true
	return server
}

// Close flushes the remaining values and stops reporting.
func (m *Metrics) Close() error {
	if m.closer == nil {
		return nil
	}
	return errors.Wrap(m.closer.Close(), "metrics: close")
}

// Request counts a caller's request. Kind must be one of Kinds, and outcome one of
// Outcomes or the reason of a refusal.
func (m *Metrics) Request(kind, outcome string, took time.Duration) {
	if m.scope == nil {
		return
	}
	m.scope.Tagged(map[string]string{tagKind: kind, tagOutcome: outcome}).Counter(string(Requests)).Inc(1)
	m.scope.Tagged(map[string]string{tagKind: kind}).Histogram(string(RequestSeconds), buckets).RecordValue(took.Seconds())
}

// Sample sets the gauges.
func (m *Metrics) Sample(s Sample) {
	if m.scope == nil {
		return
	}
	m.gauge(ConfigAge, s.ConfigAge.Seconds())
	m.gauge(ConfigVersion, float64(s.ConfigVersion))
	m.gauge(Connections, float64(s.Connections))
	m.gauge(IntakeBytes, float64(s.IntakeBytes))
	m.gauge(DomainsEvacuated, float64(s.DomainsEvacuated))
	m.gauge(DutyHeld, boolValue(s.DutyHeld))
	m.gauge(ItemsRunning, float64(s.ItemsRunning))
	m.gauge(ItemsScoring, float64(s.ItemsScoring))
	m.gauge(ItemsWaiting, float64(s.ItemsWaiting))
	m.gauge(JobsOpen, float64(s.JobsOpen))
	m.gauge(JobsUnread, float64(s.JobsUnread))
	m.gauge(LeavingShare, s.LeavingShare)
	m.gauge(LinesLeftOut, float64(s.LinesLeftOut))
	m.gauge(Members, float64(s.Members))
	m.gauge(MembersAge, s.MembersAge.Seconds())
	m.gauge(Partitioned, boolValue(s.Partitioned))
	m.gauge(Servers, float64(s.Servers))
	m.gauge(ServersCold, float64(s.ServersCold))
	m.gauge(ServersLimited, float64(s.ServersLimited))
	m.gauge(ServersSlowed, float64(s.ServersSlowed))
	m.gauge(StoreAge, s.StoreAge.Seconds())
	m.gauge(StoreRelayed, boolValue(s.StoreRelayed))
}

// ServeHTTP serves the metrics as text.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.scrape == nil || r.URL.Path != Path {
		http.NotFound(w, r)
		return
	}
	m.scrape.ServeHTTP(w, r)
}

func (m *Metrics) gauge(name Name, v float64) {
	m.scope.Gauge(string(name)).Update(v)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
