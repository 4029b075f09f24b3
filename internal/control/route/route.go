// Package route implements an immutable snapshot of the operators'
// configuration, which selects the route and the workspace of a request.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kinds of a Route.
const (
	// Safe marks routes whose requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe marks routes whose requests run at most once for each attempt of
	// the caller.
	Unsafe
	// Stream marks routes whose requests are answered by a stream of events.
	Stream
	// Batch marks routes that accept batch jobs.
	Batch
)

// Kind determines whether requests may be repeated and how they are answered.
type Kind uint8

// Route determines which services receive requests, and the limits of the
// requests.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// MaxWait is the operators' limit on the time that a request may wait.
	MaxWait time.Duration
	// Objective is the target response time. An answer within it has the full
	// value.
	Objective time.Duration
	// DueAfter is the time from a batch job's submission until its results are
	// due, and GiveUpAfter the time until its items may be given up.
	DueAfter    time.Duration
	GiveUpAfter time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Services are the services that receive the requests, with their weights;
	// never empty.
	Services []WeightedService
	// MaxServers is the maximum number of servers to which one request may be
	// sent, and on which one item of a batch job may fail.
	MaxServers int
	// Public routes do not require a key.
	Public bool
	// Resumable streams may continue on another server.
	Resumable bool
	// SingleVersion routes require results generated with a single version of
	// the weights.
	SingleVersion bool
	// Homes are the regions in which the requests may be processed.
	Homes Homes
}

// WeightedService is a service with its weight, which determines its share of a
// route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is the configuration of a group of backend servers.
type Service struct {
	Name           string
	MaxConnections int
	// Models are the models that the service's engines serve; empty for
	// services without engines.
	Models []string
	// TokensPerEvent is the number of tokens in an event of an engine's stream.
	TokensPerEvent int
	// ColdRate is how many requests per second a cold server takes from all daemons
	// together, and ColdTime for how long a server is cold after its start. Servers are
	// never cold if either is 0.
	ColdRate float64
	ColdTime time.Duration
	// Scaling is nil if the number of servers is fixed.
	Scaling *Scaling
}

// Scaling contains the limits on the number of servers of a service, their boot
// time and their prices by failure domain.
type Scaling struct {
	Min, Max  int
	BootTime  time.Duration
	SpotPrice float64
	Prices    map[string]float64
}

// Limits are the limits of a caller's request and connection.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the time in which a request's header must arrive.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Config is one version of the operators' configuration. It must not be changed
// after a call of Index. The zero value has no routes.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keys determines whether a key is required, and the workspaces of keys.
	Keys Access
	// Priorities maps workspaces to the priority that overrides that of the
	// routes.
	Priorities map[string]int
	// WorkspaceHomes maps the workspaces that are restricted to regions to these.
	WorkspaceHomes map[string]Homes

	hosts map[string][]*Route
	// restricts is whether a route is restricted.
	restricts bool
}

// Index builds the index that Route uses.
func (c *Config) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		c.restricts = c.restricts || r.Homes.restricted
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Route returns the route of a host with the longest prefix of path.
func (c *Config) Route(host, path string) (Route, bool) {
	if c == nil {
		return Route{}, false
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return *r, true
		}
	}
	return Route{}, false
}

// Access returns whose requests run. Without a configuration it is the zero value.
func (c *Config) Access() Access {
	if c == nil {
		return Access{}
	}
	return c.Keys
}

// Priority returns the priority of a request: that of the workspace if it has
// one, and that of the route otherwise.
func (c *Config) Priority(r Route, workspace string) int {
	if p, ok := c.Priorities[workspace]; ok {
		return p
	}
	return r.Priority
}

// Service selects the service for the request ID according to the weights of
// the route. The same ID always selects the same service. If the weights add up
// to zero, it selects the first service.
func (r Route) Service(id string) string {
	total := 0
	for _, w := range r.Services {
		total += w.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, w := range r.Services {
		if n < w.Weight {
			return w.Service
		}
		n -= w.Weight
	}
	return r.Services[0].Service
}
