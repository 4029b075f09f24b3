package command

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

func (s *session) addException(a *kingpin.Application) {
	c := a.Command("exception", "Replace a default for one workspace, with a reason.")

	add := c.Command("add", "Add an exception, or replace the workspace's exception of the same setting.")
	e := exceptionArguments(add)
	value := add.Arg("value", "Value.").Required().Float64()
	reason := add.Flag("reason", "Reason; an exception without one is refused.").Required().String()
	add.Action(func(*kingpin.ParseContext) error {
		e.Value, e.Reason = *value, *reason
		if strings.TrimSpace(e.Reason) == "" {
			return errors.Wrap(ErrUsage, "an exception needs a reason")
		}
		r, err := s.edit(e.Reason, func(c *config.Config) error {
			putException(c, *e)
			return nil
		})
		if err != nil {
			return err
		}
		return s.printApplied(r, fmt.Sprintf("exception %s of %s set to %v", e.Setting, e.Workspace, e.Value))
	})

	s.addExceptionRemove(c)
	c.Command("list", "List exceptions with their reasons.").Action(func(*kingpin.ParseContext) error {
		c, err := s.current(0)
		if err != nil {
			return err
		}
		return s.print(c.Exceptions, func(w io.Writer) {
			table(w, func(w io.Writer) {
				row(w, "WORKSPACE", "SETTING", "VALUE", "REASON")
				for _, x := range c.Exceptions {
					row(w, x.Workspace, x.Setting, x.Value, x.Reason)
				}
			})
		})
	})
}

func (s *session) addExceptionRemove(c *kingpin.CmdClause) {
	remove := c.Command("remove", "Remove an exception.")
	e := exceptionArguments(remove)
	reason := remove.Flag("reason", "Reason, recorded in the history.").Default("exception removed").String()
	remove.Action(func(*kingpin.ParseContext) error {
		r, err := s.edit(*reason, func(c *config.Config) error {
			i := findException(*c, *e)
			if i < 0 {
				return withExitCode(ExitRefused, errors.Errorf("%s has no exception of %s", e.Workspace, e.Setting))
			}
			c.Exceptions = slices.Delete(c.Exceptions, i, i+1)
			return nil
		})
		if err != nil {
			return err
		}
		return s.printApplied(r, fmt.Sprintf("exception %s of %s removed", e.Setting, e.Workspace))
	})
}

// exceptionArguments adds the arguments that identify an exception.
func exceptionArguments(c *kingpin.CmdClause) *config.Exception {
	e := &config.Exception{}
	c.Arg("workspace", "Name of the workspace.").Required().StringVar((*string)(&e.Workspace))
	c.Arg("setting", "Name of the setting.").Required().EnumVar((*string)(&e.Setting), settingNames()...)
	return e
}

func findException(c config.Config, e config.Exception) int {
	return slices.IndexFunc(c.Exceptions, func(x config.Exception) bool {
		return x.Workspace == e.Workspace && x.Setting == e.Setting
	})
}

func putException(c *config.Config, e config.Exception) {
	if i := findException(*c, e); i >= 0 {
		c.Exceptions[i] = e
		return
	}
	c.Exceptions = append(c.Exceptions, e)
}
