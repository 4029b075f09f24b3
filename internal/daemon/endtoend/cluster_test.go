package endtoend

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/daemon/settings"
	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
	"github.com/lacewingtally/lacewingtally/internal/peer/mtls"
	"github.com/lacewingtally/lacewingtally/internal/platform/vmlist"
)

const (
	region fleet.Region = "cz-stred"
	// pool is the pool of the engines; services is the pool of the plain service.
	pool     fleet.Pool = "assistant"
	services fleet.Pool = "bookings"

	operatorKey = "operators-key"
	callerKey   = "callers-key"
	workspace   = "bakers"

	// port is the port of the stand-ins and backend servers, and the first of the
	// four ports of a daemon.
	port = 17000
	// maxConcurrentClusters limits the clusters that run at once, and thereby the
	// number of processes.
	maxConcurrentClusters = 3
)

var (
	domains = []fleet.FailureDomain{"praha-a", "praha-b", "kladno"}
	// networks counts the clusters. Each has its own loopback addresses.
	networks atomic.Uint32
	// slots limits the clusters that run at once.
	slots = make(chan struct{}, maxConcurrentClusters)
)

// cluster is a complete system of daemons, stand-ins and backend servers, each in
// its own process.
type cluster struct {
	t *testing.T
	// network is the base of the addresses of the cluster's processes.
	network  netip.Addr
	daemons  []*daemon
	engines  []*server
	service  *server
	table    netip.AddrPort
	platform netip.AddrPort
	// tokensPerSecond is the speed of the engines.
	tokensPerSecond int
	// fenced makes the platform check fencing tokens.
	fenced bool
	// serviceDelay is how long the plain service takes to answer.
	serviceDelay time.Duration
	authority    *mtls.Authority
	directory    string
}

// daemon is one daemon with its addresses.
type daemon struct {
	*process

	settings settings.Settings
	file     string
}

// server is one backend server.
type server struct {
	*process

	address netip.AddrPort
	domain  fleet.FailureDomain
}

// option configures a cluster before it starts.
type option func(*cluster)

func withSlowEngines(tokensPerSecond int) option {
	return func(c *cluster) { c.tokensPerSecond = tokensPerSecond }
}

func withSlowService(d time.Duration) option {
	return func(c *cluster) { c.serviceDelay = d }
}

func withoutFencing() option {
	return func(c *cluster) { c.fenced = false }
}

// newCluster starts a cluster with three daemons and three engines. Its
// configuration has one workspace with one key.
func newCluster(t *testing.T, options ...option) *cluster {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	n := networks.Add(1)
	id := os.Getpid()
	c := &cluster{
		t:               t,
		network:         netip.AddrFrom4([4]byte{127, byte(1 + id>>8&0x7f), byte(id), byte(n * 16)}),
		tokensPerSecond: 200,
		fenced:          true,
		directory:       t.TempDir(),
	}
	for _, o := range options {
		o(c)
	}
	now := time.Now()
	var err error
	c.authority, err = mtls.NewAuthority(now, now.Add(time.Hour))
	must.NoError(t, err)
	c.startStandIns()
	for i := range domains {
		c.daemons = append(c.daemons, c.newDaemon(i))
	}
	for _, d := range c.daemons {
		c.startDaemon(d)
	}
	for _, d := range c.daemons {
		c.awaitReady(d)
	}
	c.apply(0, c.config(), "start")
	c.awaitServing()
	return c
}

// address returns the n-th address of the cluster.
func (c *cluster) address(n int) netip.AddrPort {
	a := c.network.As4()
	a[3] += byte(n)
	return netip.AddrPortFrom(netip.AddrFrom4(a), port)
}

func (c *cluster) startStandIns() {
	c.table, c.platform = c.address(4), c.address(5)
	start(c.t, "table", "standin", "table", "--listen", c.table.String())
	arguments := []string{"platform", "--listen", c.platform.String()}
	if c.fenced {
		arguments = append(arguments, "--fenced")
	}
	start(c.t, "platform", "standin", arguments...)
	for i, f := range domains {
		e := &server{address: c.address(6 + i), domain: f}
		e.process = start(c.t, fmt.Sprintf("engine-%d", i), "standin", "engine", "--fenced", "--capacity", "64",
			"--listen", e.address.String(), "--tokens-per-second", fmt.Sprint(c.tokensPerSecond))
		c.engines = append(c.engines, e)
	}
	c.service = &server{address: c.address(9), domain: domains[0]}
	c.service.process = start(c.t, "service", "standin", "service",
		"--listen", c.service.address.String(), "--delay", c.serviceDelay.String())
	eventually(c.t, "the platform answers", func() bool {
		return c.try(http.MethodPut, c.platform, "/vms", c.vmList()) == nil
	})
	eventually(c.t, "the table answers", func() bool { return c.try(http.MethodPut, c.table, "/fault", tableFault{}) == nil })
}

// tableFault is the body of a request that sets the fault of the table.
type tableFault struct {
	Mode        string
	DelayMillis int
}

func (c *cluster) vmList() vmlist.List {
	var l vmlist.List
	for i, e := range c.engines {
		l.Servers = append(l.Servers, fleet.Server{
			ID: fleet.ServerID(fmt.Sprintf("engine-%d", i)), Address: e.address, Region: region, FailureDomain: e.domain,
			Pool: pool, Kind: fleet.Standard, State: fleet.StateLive, Fenced: true, Capacity: 64,
		})
	}
	l.Servers = append(l.Servers, fleet.Server{
		ID: "service-0", Address: c.service.address, Region: region, FailureDomain: c.service.domain,
		Pool: services, Kind: fleet.Standard, State: fleet.StateLive, Capacity: 64,
	})
	for i, f := range domains {
		l.Daemons = append(l.Daemons, vmlist.Daemon{Address: c.peer(i), Region: region, FailureDomain: f, State: fleet.StateLive})
	}
	return l
}

// peer returns the peer address of a daemon.
func (c *cluster) peer(i int) netip.AddrPort {
	return netip.AddrPortFrom(c.address(1+i).Addr(), port+2)
}

func (c *cluster) newDaemon(i int) *daemon {
	a := c.address(1 + i).Addr()
	directory := filepath.Join(c.directory, fmt.Sprintf("daemon-%d", i))
	must.NoError(c.t, os.Mkdir(directory, 0o700))
	f := mtls.Files{
		CA:          filepath.Join(directory, "ca.pem"),
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
	}
	now := time.Now()
	must.NoError(c.t, c.authority.Issue(f, []netip.Addr{a}, now, now.Add(time.Hour)))
	s := settings.Default()
	s.Region, s.FailureDomain = region, domains[i]
	s.Regions = []settings.Region{{Name: region, FailureDomains: domains}}
	s.Listen = settings.Listen{
		Callers:   netip.AddrPortFrom(a, port),
		Operators: netip.AddrPortFrom(a, port+1),
		Peers:     netip.AddrPortFrom(a, port+2),
		Metrics:   netip.AddrPortFrom(a, port+3),
	}
	s.AdvertisePeer = c.peer(i)
	for j := range domains {
		s.Seeds = append(s.Seeds, c.peer(j))
	}
	s.Platform = settings.Platform{
		Table: c.table, Objects: c.platform, Orders: c.platform, Usage: c.platform, VMList: c.platform, Weights: c.platform,
	}
	s.TLS = settings.TLS{CA: f.CA, Certificate: f.Certificate, Key: f.Key}
	s.OperatorKeyHash = config.HashKey(operatorKey)
	s.Drain = settings.Drain{BalancerDelay: time.Second, Limit: time.Minute}
	s.Log.TimeLine = true
	b, err := settings.Marshal(s)
	must.NoError(c.t, err)
	file := filepath.Join(directory, "settings.yaml")
	must.NoError(c.t, os.WriteFile(file, b, 0o600))
	return &daemon{settings: s, file: file}
}

func (c *cluster) startDaemon(d *daemon) {
	d.process = start(c.t, "daemon "+d.settings.AdvertisePeer.String(), "lacewingtally", "serve", "--settings", d.file)
}

func (c *cluster) awaitReady(d *daemon) {
	c.t.Helper()
	eventually(c.t, d.name+" is ready", func() bool { return c.ready(d) })
}

func (c *cluster) ready(d *daemon) bool {
	return c.try(http.MethodGet, d.settings.Listen.Metrics, telemetry.ReadyPath, nil) == nil
}

// awaitServing waits until requests to each pool succeed through each daemon.
func (c *cluster) awaitServing() {
	c.t.Helper()
	for i := range c.daemons {
		eventually(c.t, "engines serve", func() bool {
			_, err := c.generate(i, callerKey, &callerv1.GenerateRequest{Pool: string(pool), Prompt: "x", MaxTokens: 1}, nil)
			return err == nil
		})
		eventually(c.t, "the service serves", func() bool {
			a := c.plain(i, callerKey, "/hours", "", "")
			return a.status == http.StatusOK
		})
	}
}

func (c *cluster) config() config.Config {
	return config.Config{
		Workspaces: []config.Workspace{{Name: workspace}},
		Keys:       []config.Key{{Hash: config.HashKey(callerKey), Workspace: workspace}},
		Pools: []config.Pool{
			{Name: pool, Protocol: config.ProtocolEngine, LiveFloor: 2, MaxServers: 3},
			{Name: services, Protocol: config.ProtocolService, LiveFloor: 1, MaxServers: 2},
		},
		Routes: []config.Route{
			{Path: "/bookings", Pool: services},
			{Path: "/hours", Pool: services, Open: true, Repeatable: true, Class: fleet.Live},
		},
	}
}

func (c *cluster) operator(i int) operatorv1.OperatorServiceClient {
	return operatorv1.NewOperatorServiceClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		"http://"+c.daemons[i].settings.Listen.Operators.String())
}

func asOperator[T any](m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+operatorKey)
	return r
}

// tryApply applies next on top of the newest revision, through daemon i.
func (c *cluster) tryApply(i int, next config.Config, reason string) (*operatorv1.ApplyConfigResponse, error) {
	g, err := c.operator(i).GetConfig(c.t.Context(), asOperator(&operatorv1.GetConfigRequest{}))
	if err != nil {
		return nil, err
	}
	b, err := config.Marshal(next)
	must.NoError(c.t, err)
	a, err := c.operator(i).ApplyConfig(c.t.Context(), asOperator(&operatorv1.ApplyConfigRequest{
		Base: g.Msg.GetRevision(), Yaml: string(b), Operator: "test", Reason: reason,
	}))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}

// apply applies next and requires that it is in effect in all regions.
func (c *cluster) apply(i int, next config.Config, reason string) {
	c.t.Helper()
	a, err := c.tryApply(i, next, reason)
	must.NoError(c.t, err)
	must.True(c.t, a.GetInForce(), must.Sprintf("pending: %v", a.GetPendingRegions()))
}

// status returns the fleet status that daemon i reports, or nil on an error.
func (c *cluster) status(i int) *operatorv1.GetStatusResponse {
	s, err := c.operator(i).GetStatus(c.t.Context(), asOperator(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return nil
	}
	return s.Msg
}

// try sends a small request and returns an error unless the status is 2xx.
func (c *cluster) try(method string, to netip.AddrPort, path string, body any) error {
	_, err := c.fetch(method, to, path, body)
	return err
}

func (c *cluster) fetch(method string, to netip.AddrPort, path string, body any) (string, error) {
	b, err := json.Marshal(body)
	must.NoError(c.t, err)
	r, err := http.NewRequest(method, "http://"+to.String()+path, bytes.NewReader(b))
	must.NoError(c.t, err)
	h := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := h.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return string(text), err
}

// fault sets the fault of a stand-in.
func (c *cluster) fault(target netip.AddrPort, f any) {
	c.t.Helper()
	must.NoError(c.t, c.try(http.MethodPut, target, "/fault", f))
}

// runs returns how often the plain service started each request.
func (c *cluster) runs() map[string]int {
	text, err := c.fetch(http.MethodGet, c.service.address, "/runs", nil)
	must.NoError(c.t, err)
	m := make(map[string]int)
	must.NoError(c.t, json.Unmarshal([]byte(text), &m))
	return m
}
