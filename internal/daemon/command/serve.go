package command

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/daemon/settings"
)

func (s *session) addServe(a *kingpin.Application) {
	c := a.Command("serve", "Run a daemon until SIGTERM, then drain it.")
	file := c.Flag("settings", "File with the process's settings.").Required().String()
	c.Action(func(*kingpin.ParseContext) error {
		p, err := settings.Load(*file)
		if err != nil {
			return err
		}
		if s.Serve == nil {
			return withExitCode(ExitFailed, errors.New("this program cannot serve"))
		}
		err = s.Serve(s.ctx, p)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return withExitCode(ExitFailed, err)
	})
}
