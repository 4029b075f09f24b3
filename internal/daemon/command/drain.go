package command

import (
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

func (s *session) addDrain(a *kingpin.Application) {
	c := a.Command("drain", "Take a failure domain out of use, or back into use with --end.")
	name := c.Arg("failure-domain", "Name of the failure domain.").Required().String()
	reason := c.Flag("reason", "Reason; a drain without one is refused.").Required().String()
	end := c.Flag("end", "End the drain.").Bool()
	c.Action(func(*kingpin.ParseContext) error {
		if strings.TrimSpace(*reason) == "" {
			return errors.Wrap(ErrUsage, "a drain needs a reason")
		}
		d := config.Drain{FailureDomain: fleet.FailureDomain(*name), Reason: *reason}
		change, summary := beginDrain, "failure domain "+*name+" drained"
		if *end {
			change, summary = endDrain, "drain of failure domain "+*name+" ended"
		}
		r, err := s.edit(*reason, func(c *config.Config) error { return change(c, d) })
		if err != nil {
			return err
		}
		return s.printApplied(r, summary)
	})
}

func beginDrain(c *config.Config, d config.Drain) error {
	if findDrain(*c, d) >= 0 {
		return withExitCode(ExitRefused, errors.Errorf("failure domain %s is already drained", d.FailureDomain))
	}
	c.Drains = append(c.Drains, d)
	return nil
}

func endDrain(c *config.Config, d config.Drain) error {
	i := findDrain(*c, d)
	if i < 0 {
		return withExitCode(ExitRefused, errors.Errorf("failure domain %s is not drained", d.FailureDomain))
	}
	c.Drains = slices.Delete(c.Drains, i, i+1)
	return nil
}

func findDrain(c config.Config, d config.Drain) int {
	return slices.IndexFunc(c.Drains, func(x config.Drain) bool { return x.FailureDomain == d.FailureDomain })
}
