package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kinds of a Change.
const (
	Added   ChangeKind = "Added"
	Changed ChangeKind = "Changed"
	Removed ChangeKind = "Removed"
)

// Change is one difference between two documents.
type Change struct {
	Kind    ChangeKind
	Section Section
	// Name identifies the entry within its section; empty if the section is one entry.
	Name string
	// Before and After are the entry; empty where it is absent. Keys are shown as hashes.
	Before, After string
}

// ChangeKind is how an entry differs.
type ChangeKind string

// String returns the change on one line.
func (c Change) String() string {
	name := entryName(c.Section, c.Name)
	switch c.Kind {
	case Added:
		return fmt.Sprintf("%s %s: %s", c.Kind, name, c.After)
	case Removed:
		return fmt.Sprintf("%s %s: %s", c.Kind, name, c.Before)
	}
	return fmt.Sprintf("%s %s: %s -> %s", c.Kind, name, c.Before, c.After)
}

// entry identifies an entry of a document.
type entry struct {
	section Section
	name    string
}

// Diff returns the changes that turn one document into another, ordered by section and
// name. The versions are not compared.
func Diff(from, to Document) []Change {
	before, after := entries(from), entries(to)
	var out []Change
	for k, b := range before {
		a, ok := after[k]
		switch {
		case !ok:
			out = append(out, Change{Kind: Removed, Section: k.section, Name: k.name, Before: b})
		case a != b:
			out = append(out, Change{Kind: Changed, Section: k.section, Name: k.name, Before: b, After: a})
		}
	}
	for k, a := range after {
		if _, ok := before[k]; !ok {
			out = append(out, Change{Kind: Added, Section: k.section, Name: k.name, After: a})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// entries returns descriptions of the entries of a document.
func entries(d Document) map[entry]string {
	out := map[entry]string{
		{section: SectionLimits}:     fmt.Sprintf("%+v", d.Limits),
		{section: SectionWorkspaces}: fmt.Sprintf("key required: %t", d.KeyRequired),
	}
	for _, r := range d.Routes {
		name := r.Name
		r.Name = ""
		out[entry{SectionRoutes, name}] = fmt.Sprintf("%+v", r)
	}
	for _, s := range d.Services {
		text := fmt.Sprintf("%d connections, models %v, %d tokens an event", s.MaxConnections, s.Models, s.TokensPerEvent)
		if c := s.Scaling; c != nil {
			text += fmt.Sprintf(", %d to %d servers, boot time %v, spot price %v, prices %s", c.Min, c.Max, c.BootTime, c.SpotPrice, prices(c.Prices))
		}
		if s.ColdRate > 0 {
			text += fmt.Sprintf(", cold for %v at %v requests a second", s.ColdTime, s.ColdRate)
		}
		out[entry{SectionServices, s.Name}] = text
	}
	for _, w := range d.Workspaces {
		out[entry{SectionWorkspaces, w.Name}] = fmt.Sprintf("priority %s, %s, keys %s", priority(w), w.Homes, keyHashes(w.Keys))
	}
	return out
}

func prices(byDomain map[string]float64) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(byDomain)) {
		out = append(out, fmt.Sprintf("%s %v", name, byDomain[name]))
	}
	return strings.Join(out, ", ")
}

func priority(w Workspace) string {
	if p, ok := w.Priority.Get(); ok {
		return fmt.Sprint(p)
	}
	return "of the route"
}

// keyHashes returns the hashes of keys, which must not be printed themselves.
func keyHashes(keys []string) string {
	var out []string
	for _, k := range keys {
		out = append(out, fmt.Sprintf("%08x", uint32(xxhash.Sum64String(k))))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
