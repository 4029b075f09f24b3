package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// ErrInvalid is wrapped by every *InvalidError.
var ErrInvalid = errors.New("config: invalid")

// hashLength is the number of hexadecimal digits of a SHA-256 hash.
const hashLength = 64

// maxNameLength limits the length of names of workspaces, pools and failure
// domains, in bytes.
const maxNameLength = 128

// InvalidError reports an invalid value and its place in a document.
type InvalidError struct {
	// Place is a path in the document, for example "Keys[3].Workspace".
	Place  string
	Reason string
}

// Error returns the place and the reason.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%v: %s: %s", ErrInvalid, e.Place, e.Reason)
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error {
	return ErrInvalid
}

// Validate checks the document. It returns an *InvalidError for the first
// invalid value.
func (c Config) Validate() error {
	v := validator{}
	v.workspaces(c.Workspaces)
	v.keys(c.Keys)
	v.defaults(c.Defaults)
	v.exceptions(c.Exceptions)
	v.pools(c.Pools)
	v.routes(c.Routes)
	v.drains(c.Drains)
	if v.first != nil {
		return v.first
	}
	return nil
}

// validateAfter checks that the change from old to c neither grants a withdrawn
// key again nor moves a key to another workspace.
func (c Config) validateAfter(old Config) error {
	before := make(map[string]Key, len(old.Keys))
	for _, k := range old.Keys {
		before[k.Hash] = k
	}
	for i, k := range c.Keys {
		b, ok := before[k.Hash]
		if !ok {
			continue
		}
		p := fmt.Sprintf("Keys[%d]", i)
		if b.Workspace != k.Workspace {
			return &InvalidError{Place: p + ".Workspace", Reason: "a key does not change its workspace"}
		}
		if !b.WithdrawnAt.IsZero() && k.WithdrawnAt.IsZero() {
			return &InvalidError{Place: p + ".WithdrawnAt", Reason: "a withdrawn key is not granted again"}
		}
	}
	return nil
}

// Settings returns every setting, in ascending order.
func Settings() []Setting {
	names := make([]Setting, 0, len(builtInValues))
	for s := range builtInValues {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}

// validator records the first invalid value.
type validator struct {
	first          *InvalidError
	workspaceNames set.Set[fleet.Workspace]
	poolNames      set.Set[fleet.Pool]
}

func (v *validator) defaults(d map[Setting]float64) {
	for _, s := range sortedSettings(d) {
		v.value(fmt.Sprintf("Defaults.%s", s), s, d[s])
	}
}

func (v *validator) drains(ds []Drain) {
	var seen set.Set[fleet.FailureDomain]
	for i, d := range ds {
		p := fmt.Sprintf("Drains[%d]", i)
		v.name(p+".FailureDomain", string(d.FailureDomain))
		v.require(seen.Add(d.FailureDomain), p+".FailureDomain", "given twice")
		v.reason(p, d.Reason)
	}
}

func (v *validator) exceptions(es []Exception) {
	var seen set.Set[exceptionKey]
	for i, e := range es {
		p := fmt.Sprintf("Exceptions[%d]", i)
		v.require(v.workspaceNames.Contains(e.Workspace), p+".Workspace", "unknown workspace")
		v.value(p+".Setting", e.Setting, e.Value)
		v.require(e.Setting != SwapsPerSecond, p+".Setting", "is for the whole fleet")
		v.require(seen.Add(exceptionKey{workspace: e.Workspace, setting: e.Setting}), p, "given twice")
		v.reason(p, e.Reason)
	}
}

func (v *validator) keys(ks []Key) {
	var seen set.Set[string]
	for i, k := range ks {
		p := fmt.Sprintf("Keys[%d]", i)
		b, err := hex.DecodeString(k.Hash)
		ok := err == nil && len(b)*2 == hashLength && strings.ToLower(k.Hash) == k.Hash
		v.require(ok, p+".Hash", "not a SHA-256 in lower-case hexadecimal")
		v.require(seen.Add(k.Hash), p+".Hash", "given twice")
		v.require(v.workspaceNames.Contains(k.Workspace), p+".Workspace", "unknown workspace")
	}
}

func (v *validator) name(place, name string) {
	v.require(name != "", place, "empty")
	v.require(len(name) <= maxNameLength, place, "too long")
	v.require(!strings.ContainsAny(name, "/ \t\r\n"), place, "holds a slash or a blank")
}

func (v *validator) pools(ps []Pool) {
	for i, p := range ps {
		at := fmt.Sprintf("Pools[%d]", i)
		v.name(at+".Name", string(p.Name))
		v.require(v.poolNames.Add(p.Name), at+".Name", "given twice")
		ok := p.Protocol == ProtocolEngine || p.Protocol == ProtocolService
		v.require(ok, at+".Protocol", "neither Engine nor Service")
		v.require(p.LiveFloor >= 0, at+".LiveFloor", "negative")
		v.require(p.MaxServers >= 0, at+".MaxServers", "negative")
		v.require(p.LiveFloor <= p.MaxServers, at+".LiveFloor", "larger than MaxServers")
	}
}

func (v *validator) reason(place, reason string) {
	v.require(strings.TrimSpace(reason) != "", place+".Reason", "empty")
}

func (v *validator) require(ok bool, place, reason string) {
	if !ok && v.first == nil {
		v.first = &InvalidError{Place: place, Reason: reason}
	}
}

func (v *validator) routes(rs []Route) {
	var seen set.Set[string]
	for i, r := range rs {
		p := fmt.Sprintf("Routes[%d]", i)
		v.require(strings.HasPrefix(r.Path, "/"), p+".Path", "does not begin with a slash")
		v.require(seen.Add(r.Path), p+".Path", "given twice")
		v.require(v.poolNames.Contains(r.Pool), p+".Pool", "unknown pool")
		v.require(r.Class <= fleet.Training, p+".Class", "unknown class")
	}
}

func (v *validator) value(place string, s Setting, x float64) {
	_, ok := builtInValues[s]
	v.require(ok, place, "unknown setting")
	v.require(!math.IsNaN(x) && !math.IsInf(x, 0), place, "not a finite number")
	v.require(x >= 0, place, "negative")
	v.require(s != Weight || x > 0, place, "must be larger than zero")
}

func (v *validator) workspaces(ws []Workspace) {
	for i, w := range ws {
		p := fmt.Sprintf("Workspaces[%d].Name", i)
		v.name(p, string(w.Name))
		v.require(v.workspaceNames.Add(w.Name), p, "given twice")
	}
}

func sortedSettings(d map[Setting]float64) []Setting {
	names := make([]Setting, 0, len(d))
	for s := range d {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}
