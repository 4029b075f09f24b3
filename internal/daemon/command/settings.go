package command

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/daemon/settings"
)

func (s *session) addSettings(a *kingpin.Application) {
	c := a.Command("settings", "Check and show the settings of a process.")

	check := c.Command("check", "Check a file.")
	file := check.Arg("file", "File with the settings.").Required().String()
	check.Action(func(*kingpin.ParseContext) error {
		if _, err := settings.Load(*file); err != nil {
			return err
		}
		fmt.Fprintf(s.Stdout, "%s is valid\n", *file)
		return nil
	})

	show := c.Command("print", "Print the settings in a file, completed with defaults; only the defaults without a file.")
	shown := show.Arg("file", "File with the settings.").String()
	show.Action(func(*kingpin.ParseContext) error {
		p, err := settings.Default(), error(nil)
		if *shown != "" {
			p, err = settings.Load(*shown)
		}
		if err != nil {
			return err
		}
		b, err := settings.Marshal(p)
		if err != nil {
			return err
		}
		_, err = s.Stdout.Write(b)
		return errors.Wrap(err, "output")
	})
}
