// Package route holds an immutable snapshot of the operators' configuration and
// selects the route and the workspace of a request from it.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kinds of Route.
const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each attempt of the caller.
	Unsafe
	// Stream requests are answered by a series of events.
	Stream
	// Batch routes take batch jobs.
	Batch
)

// Kind says what may be repeated, and what a request is answered by.
type Kind uint8

// Route says where requests go and within which bounds.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Patience is how long an operator wants a request kept waiting at most.
	Patience time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// DueAfter and GiveUpAfter count from a batch job's submission: when its
	// results are due, and from when an item may be given up.
	DueAfter    time.Duration
	GiveUpAfter time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Services are where requests go, by weight; never empty.
	Services []Weighted
	// MaxServers bounds the servers that one attempt may be sent to.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
	// SingleVersion routes want results made under one version of the weights.
	SingleVersion bool
}

// Weighted is a service and its share of a route's requests.
type Weighted struct {
	Service string
	Weight  int
}

// Service is what the operators say of a group of backend servers.
type Service struct {
	Name           string
	MaxConnections int
	// Models are those that the service's engines serve; empty for plain
	// services.
	Models []string
	// TokensPerEvent is the number of tokens in an event of an engine's stream.
	TokensPerEvent int
	// Scaling is nil if the number of servers is fixed.
	Scaling *Scaling
}

// Scaling bounds and prices the servers of a service, in each failure domain.
type Scaling struct {
	Min, Max  int
	BootTime  time.Duration
	SpotPrice float64
	Prices    map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTime    time.Duration
}

// Config is one version of the operators' configuration. It is not changed once
// Index was called. The zero value has no routes.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Keys maps a caller's key to its workspace.
	Keys map[string]string
	// Priorities holds the workspaces whose rank replaces that of the routes.
	Priorities map[string]int

	hosts map[string][]*Route
}

// Index prepares the selection of routes.
func (c *Config) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Route returns the route of a request, the one with the longest prefix.
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

// Workspace returns the workspace that holds a key.
func (c *Config) Workspace(key string) (string, bool) {
	w, ok := c.Keys[key]
	return w, ok && key != ""
}

// Priority returns the rank of a request: the workspace's own, if it has one.
func (c *Config) Priority(r Route, workspace string) int {
	if p, ok := c.Priorities[workspace]; ok {
		return p
	}
	return r.Priority
}

// Service returns the service of a request, by the weights of its route. The
// same ID always goes to the same service.
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
