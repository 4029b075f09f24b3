// Package check examines a configuration before operators publish it: mistakes that the
// daemons would accept silently, entries that can never match a request, limits that
// contradict each other, and what differs from the configuration in effect.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
)

// Kinds of a Finding.
const (
	// Contradiction marks limits that can't both take effect.
	Contradiction Kind = "Contradiction"
	// Mistake marks entries that the daemons can't use as written.
	Mistake Kind = "Mistake"
	// NeverMatches marks entries that no request can reach.
	NeverMatches Kind = "NeverMatches"
)

// Sections of a document.
const (
	SectionLimits     Section = "Limits"
	SectionRoutes     Section = "Routes"
	SectionServices   Section = "Services"
	SectionVersion    Section = "Version"
	SectionWorkspaces Section = "Workspaces"
)

// Document is a configuration as written, with entries that replace each other once the
// daemons index it.
type Document struct {
	Version    int64
	Routes     []route.Route
	Services   []route.Service
	Limits     route.Limits
	Workspaces []Workspace
	// KeyRequired is whether requests need a key of a workspace, also if there is none.
	KeyRequired bool
}

// Workspace is a workspace as written.
type Workspace struct {
	Name     string
	Keys     []string
	Priority option.Option[int]
	Homes    route.Homes
}

// Finding is one problem of a document.
type Finding struct {
	Kind    Kind
	Section Section
	// Name identifies the entry within its section; empty if the section is one entry.
	Name string
	Text string
}

// Kind is the kind of a Finding.
type Kind string

// Section is a part of a document.
type Section string

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s", f.Kind, entryName(f.Section, f.Name), f.Text)
}

// Examine returns the problems of a document, ordered by section and name.
func Examine(d Document) []Finding {
	e := examination{}
	e.routes(d)
	e.services(d)
	e.limits(d.Limits)
	e.workspaces(d.Workspaces)
	e.keys(d)
	slices.SortStableFunc(e.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Name, b.Name))
	})
	return e.findings
}

// OutdatedVersion returns the finding for a document that does not replace the one in effect,
// because daemons never return to an older version.
func OutdatedVersion(d, inForce Document) Finding {
	return Finding{Kind: Mistake, Section: SectionVersion, Text: fmt.Sprintf("version %d is not newer than version %d in force", d.Version, inForce.Version)}
}

// examination collects findings.
type examination struct {
	findings []Finding
}

func (e *examination) add(k Kind, s Section, name, format string, arguments ...any) {
	e.findings = append(e.findings, Finding{Kind: k, Section: s, Name: name, Text: fmt.Sprintf(format, arguments...)})
}

// target identifies the requests of a route.
type target struct {
	host, prefix string
}

func (e *examination) routes(d Document) {
	var names set.Set[string]
	var services set.Set[string]
	for _, s := range d.Services {
		services.Add(s.Name)
	}
	first := make(map[target]string)
	for _, r := range d.Routes {
		if names.Contains(r.Name) {
			e.add(Mistake, SectionRoutes, r.Name, "another route has the same name")
		}
		names.Add(r.Name)
		if other, taken := first[target{r.Host, r.Prefix}]; taken {
			e.add(NeverMatches, SectionRoutes, r.Name, "route %s has the same host and prefix and comes first", other)
		} else {
			first[target{r.Host, r.Prefix}] = r.Name
		}
		e.matching(r)
		e.split(r, services)
		e.times(r)
	}
}

// matching finds routes whose host or prefix no request has.
func (e *examination) matching(r route.Route) {
	if r.Host == "" {
		e.add(NeverMatches, SectionRoutes, r.Name, "the host is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		e.add(NeverMatches, SectionRoutes, r.Name, "prefix %q does not begin with a slash", r.Prefix)
	} else if !strings.HasSuffix(r.Prefix, "/") {
		e.add(Mistake, SectionRoutes, r.Name, "prefix %q does not end with a slash, so it also matches longer names", r.Prefix)
	}
}

// split finds services of a route that do not exist or get no requests.
func (e *examination) split(r route.Route, services set.Set[string]) {
	total := 0
	for _, w := range r.Services {
		total += max(0, w.Weight)
	}
	for _, w := range r.Services {
		if !services.Contains(w.Service) {
			e.add(Mistake, SectionRoutes, r.Name, "service %q does not exist", w.Service)
		}
		switch {
		case w.Weight < 0:
			e.add(Mistake, SectionRoutes, r.Name, "the weight of service %q is negative", w.Service)
		case w.Weight == 0 && total > 0:
			e.add(NeverMatches, SectionRoutes, r.Name, "the weight of service %q is 0", w.Service)
		}
	}
	if total == 0 {
		e.add(Mistake, SectionRoutes, r.Name, "all weights are 0: the first service gets all requests")
	}
}

// times finds limits of a route that contradict each other.
func (e *examination) times(r route.Route) {
	if r.MaxWait > 0 && r.Objective > r.MaxWait {
		e.add(Contradiction, SectionRoutes, r.Name, "the response time target of %v is above the timeout of %v", r.Objective, r.MaxWait)
	}
	if r.Kind == route.Batch && r.GiveUpAfter <= 0 {
		e.add(Mistake, SectionRoutes, r.Name, "items are given up as soon as they are submitted")
	}
	if r.Kind == route.Batch && r.GiveUpAfter > 0 && r.DueAfter > r.GiveUpAfter {
		e.add(Contradiction, SectionRoutes, r.Name, "results are due after %v, but items are given up after %v", r.DueAfter, r.GiveUpAfter)
	}
	if r.Resumable && r.Kind != route.Stream && r.Kind != route.Batch {
		e.add(Contradiction, SectionRoutes, r.Name, "only streams can be resumed")
	}
}

func (e *examination) services(d Document) {
	var used, names set.Set[string]
	for _, r := range d.Routes {
		for _, w := range r.Services {
			used.Add(w.Service)
		}
	}
	for _, s := range d.Services {
		if names.Contains(s.Name) {
			e.add(Mistake, SectionServices, s.Name, "another service has the same name and replaces it")
		}
		names.Add(s.Name)
		if !used.Contains(s.Name) {
			e.add(NeverMatches, SectionServices, s.Name, "no route leads to it")
		}
		if c := s.Scaling; c != nil && c.Min > c.Max {
			e.add(Contradiction, SectionServices, s.Name, "at least %d servers are required, but %d are allowed", c.Min, c.Max)
		}
	}
}

func (e *examination) limits(l route.Limits) {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTime < 0 || l.IdleTime < 0 {
		e.add(Mistake, SectionLimits, "", "a limit is negative")
	}
}

func (e *examination) workspaces(all []Workspace) {
	owners := make(map[string]string)
	var names set.Set[string]
	for _, w := range all {
		if names.Contains(w.Name) {
			e.add(Mistake, SectionWorkspaces, w.Name, "another workspace has the same name")
		}
		names.Add(w.Name)
		if len(w.Keys) == 0 {
			e.add(NeverMatches, SectionWorkspaces, w.Name, "it has no key, so it gets no requests")
		}
		for _, k := range w.Keys {
			if k == "" {
				e.add(NeverMatches, SectionWorkspaces, w.Name, "an empty key is never accepted")
			} else if owner, taken := owners[k]; taken {
				e.add(Mistake, SectionWorkspaces, w.Name, "it shares a key with workspace %q", owner)
			}
			owners[k] = w.Name
		}
	}
}

// keys examines whether any key is accepted where one is required.
func (e *examination) keys(d Document) {
	accepted := func(k string) bool { return k != "" }
	hasKey := func(w Workspace) bool { return slices.ContainsFunc(w.Keys, accepted) }
	if d.KeyRequired && !slices.ContainsFunc(d.Workspaces, hasKey) {
		e.add(NeverMatches, SectionWorkspaces, "", "a key is required and none exists, so only public routes get requests")
	}
}

// entryName returns the name of an entry for messages.
func entryName(s Section, name string) string {
	if name == "" {
		return string(s)
	}
	return string(s) + "/" + name
}
