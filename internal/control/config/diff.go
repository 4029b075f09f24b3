package config

import (
	"fmt"
	"slices"
	"strings"
)

// Kinds of a Change.
const (
	Added   ChangeKind = "Added"
	Changed ChangeKind = "Changed"
	Removed ChangeKind = "Removed"
)

// Sections of a document.
const (
	SectionDefaults   Section = "Defaults"
	SectionDrains     Section = "Drains"
	SectionExceptions Section = "Exceptions"
	SectionKeys       Section = "Keys"
	SectionPools      Section = "Pools"
	SectionRoutes     Section = "Routes"
	SectionWorkspaces Section = "Workspaces"
)

// Change is one difference between two documents.
type Change struct {
	Section Section
	// Name identifies the entry within its section.
	Name string
	Kind ChangeKind
	// Before and After describe the entry, empty where it is absent.
	Before string
	After  string
}

// ChangeKind is how an entry differs.
type ChangeKind string

// Section is a part of a document.
type Section string

// String returns the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s/%s: %s -> %s", c.Kind, c.Section, c.Name, orNone(c.Before), orNone(c.After))
}

// Diff returns the changes that turn a into b, ordered by section and name. The
// revisions are not compared.
func Diff(a, b Config) []Change {
	before, after := describeEntries(a), describeEntries(b)
	var cs []Change
	for k, x := range before {
		y, ok := after[k]
		switch {
		case !ok:
			cs = append(cs, Change{Section: k.section, Name: k.name, Kind: Removed, Before: x})
		case x != y:
			cs = append(cs, Change{Section: k.section, Name: k.name, Kind: Changed, Before: x, After: y})
		}
	}
	for k, y := range after {
		if _, ok := before[k]; !ok {
			cs = append(cs, Change{Section: k.section, Name: k.name, Kind: Added, After: y})
		}
	}
	slices.SortFunc(cs, func(x, y Change) int {
		if n := strings.Compare(string(x.Section), string(y.Section)); n != 0 {
			return n
		}
		return strings.Compare(x.Name, y.Name)
	})
	return cs
}

type entryKey struct {
	section Section
	name    string
}

// describeEntries returns a one-line description of each entry of a document.
func describeEntries(c Config) map[entryKey]string {
	m := make(map[entryKey]string)
	for _, w := range c.Workspaces {
		m[entryKey{SectionWorkspaces, string(w.Name)}] = string(w.Name)
	}
	for _, k := range c.Keys {
		m[entryKey{SectionKeys, k.Hash}] = describeKey(k)
	}
	for s, v := range c.Defaults {
		m[entryKey{SectionDefaults, string(s)}] = fmt.Sprint(v)
	}
	for _, e := range c.Exceptions {
		name := fmt.Sprintf("%s/%s", e.Workspace, e.Setting)
		m[entryKey{SectionExceptions, name}] = fmt.Sprintf("%v (%s)", e.Value, e.Reason)
	}
	for _, p := range c.Pools {
		m[entryKey{SectionPools, string(p.Name)}] = fmt.Sprintf("%+v", p)
	}
	for _, r := range c.Routes {
		m[entryKey{SectionRoutes, r.Path}] = fmt.Sprintf("%+v", r)
	}
	for _, d := range c.Drains {
		m[entryKey{SectionDrains, string(d.FailureDomain)}] = d.Reason
	}
	return m
}

func describeKey(k Key) string {
	if k.WithdrawnAt.IsZero() {
		return fmt.Sprintf("%s, granted", k.Workspace)
	}
	return fmt.Sprintf("%s, withdrawn", k.Workspace)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
