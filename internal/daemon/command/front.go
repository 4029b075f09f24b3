package command

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/settings"
)

// addFront adds the command that runs a daemon on the users' platform.
func (s *session) addFront(a *kingpin.Application) {
	c := a.Command("front", "Run a daemon on the platform's VMs until SIGTERM, then hand its work over to other daemons.")
	file := c.Flag("settings", "File with the daemon's settings.").Required().String()
	c.Action(func(*kingpin.ParseContext) error {
		p, err := settings.Load(*file)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		if s.Front == nil {
			return withExitCode(ExitFailed, errors.New("this program cannot run a daemon on the platform"))
		}
		return withExitCode(ExitFailed, s.Front(s.ctx, *file, p))
	})
}
