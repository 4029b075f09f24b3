package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

func (s *session) addWorkspace(a *kingpin.Application) {
	c := a.Command("workspace", "Create and list workspaces.")

	add := c.Command("add", "Create a workspace.")
	name := add.Arg("name", "Name of the workspace.").Required().String()
	reason := add.Flag("reason", "Reason, recorded in the history.").Default("new workspace").String()
	add.Action(func(*kingpin.ParseContext) error {
		r, err := s.edit(*reason, func(c *config.Config) error {
			if hasWorkspace(*c, fleet.Workspace(*name)) {
				return withExitCode(ExitRefused, errors.Errorf("workspace %s exists", *name))
			}
			c.Workspaces = append(c.Workspaces, config.Workspace{Name: fleet.Workspace(*name)})
			return nil
		})
		if err != nil {
			return err
		}
		return s.printApplied(r, "workspace "+*name+" created")
	})

	list := c.Command("list", "List workspaces.")
	list.Action(func(*kingpin.ParseContext) error {
		c, err := s.current(0)
		if err != nil {
			return err
		}
		return s.print(c.Workspaces, func(w io.Writer) {
			for _, x := range c.Workspaces {
				fmt.Fprintln(w, x.Name)
			}
		})
	})
}

func hasWorkspace(c config.Config, name fleet.Workspace) bool {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return true
		}
	}
	return false
}
