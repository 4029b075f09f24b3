package command

import (
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// maxEditAttempts bounds the attempts at an edit that conflicts with others.
const maxEditAttempts = 8

// applied is the outcome of a change of the configuration.
type applied struct {
	Revision       fleet.ConfigRevision
	InForce        bool
	PendingRegions []string `json:",omitempty"`
}

// entry identifies one entry of a document.
type entry struct {
	section config.Section
	name    string
}

// apply validates a document that is based on revision base and sends it to a
// daemon. It sets the exit code if the new revision is not yet in effect.
func (s *session) apply(base fleet.ConfigRevision, c config.Config, reason string) (applied, error) {
	if s.operator == "" {
		return applied{}, errors.Wrap(ErrUsage, "--operator is needed")
	}
	if err := c.Validate(); err != nil {
		return applied{}, err
	}
	b, err := config.Marshal(c)
	if err != nil {
		return applied{}, err
	}
	a, err := operatorCall(s, s.operatorService().ApplyConfig, &operatorv1.ApplyConfigRequest{
		Base: uint64(base), Yaml: string(b), Operator: s.operator, Reason: reason,
	})
	if err != nil {
		return applied{}, err
	}
	if !a.GetInForce() {
		s.code = ExitNotInEffect
	}
	return applied{
		Revision:       fleet.ConfigRevision(a.GetRevision()),
		InForce:        a.GetInForce(),
		PendingRegions: a.GetPendingRegions(),
	}, nil
}

// current returns revision r of the configuration, or the newest one if r is 0.
func (s *session) current(r fleet.ConfigRevision) (config.Config, error) {
	a, err := operatorCall(s, s.operatorService().GetConfig, &operatorv1.GetConfigRequest{Revision: uint64(r)})
	if err != nil {
		return config.Config{}, err
	}
	c, err := config.Parse([]byte(a.GetYaml()))
	c.Revision = fleet.ConfigRevision(a.GetRevision())
	return c, err
}

// edit applies f to the newest configuration. If another operator changes the
// configuration first, f is applied again to the result. If that change touched
// an entry that f touches too, or after maxEditAttempts attempts, edit returns an
// error and changes nothing.
func (s *session) edit(reason string, f func(c *config.Config) error) (applied, error) {
	var touched set.Set[entry]
	var last config.Config
	for n := range maxEditAttempts {
		c, err := s.current(0)
		if err != nil {
			return applied{}, err
		}
		if n > 0 && overlaps(touched, config.Diff(last, c)) {
			break
		}
		last = c
		next := clone(c)
		if err := f(&next); err != nil {
			return applied{}, err
		}
		for _, d := range config.Diff(c, next) {
			touched.Add(entry{section: d.Section, name: d.Name})
		}
		a, err := s.apply(c.Revision, next, reason)
		if connect.CodeOf(err) != connect.CodeAborted {
			return a, err
		}
	}
	return applied{}, withExitCode(ExitRefused, errors.New("another operator changed the same entry; nothing was changed"))
}

// printApplied prints a summary of a change and whether it is in effect.
func (s *session) printApplied(a applied, summary string) error {
	return s.print(a, func(w io.Writer) {
		fmt.Fprintf(w, "%s, revision %d, ", summary, a.Revision)
		switch {
		case a.InForce:
			fmt.Fprintln(w, "in force everywhere")
		case len(a.PendingRegions) > 0:
			fmt.Fprintf(w, "written, not yet in force in %v\n", a.PendingRegions)
		default:
			fmt.Fprintln(w, "written, not yet known to be in force")
		}
	})
}

// clone returns a deep copy of a document.
func clone(c config.Config) config.Config {
	n := c
	n.Workspaces = append([]config.Workspace(nil), c.Workspaces...)
	n.Keys = append([]config.Key(nil), c.Keys...)
	n.Exceptions = append([]config.Exception(nil), c.Exceptions...)
	n.Pools = append([]config.Pool(nil), c.Pools...)
	n.Routes = append([]config.Route(nil), c.Routes...)
	n.Drains = append([]config.Drain(nil), c.Drains...)
	n.Defaults = make(map[config.Setting]float64, len(c.Defaults))
	for k, v := range c.Defaults {
		n.Defaults[k] = v
	}
	return n
}

// overlaps reports whether one of the changes is to an entry in touched.
func overlaps(touched set.Set[entry], changes []config.Change) bool {
	for _, d := range changes {
		if touched.Contains(entry{section: d.Section, name: d.Name}) {
			return true
		}
	}
	return false
}
