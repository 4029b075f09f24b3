package command

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/daemon/explain"
)

// addExplain adds the command that prints the log lines of one request, job or
// item.
func (s *session) addExplain(a *kingpin.Application) {
	c := a.Command("explain", "Print the log lines of a request, a batch job or an item from all daemons, in order.")
	id := c.Arg("id", "ID of the request, the job or the item.").Required().String()
	files := c.Arg("log", "Files with the daemons' output, one per daemon.").Required().ExistingFiles()
	step := c.Flag("step", "Print instead where the training step of this batch job spent its time.").Bool()
	c.Action(func(*kingpin.ParseContext) error {
		return s.explain(*id, *files, *step)
	})
}

func (s *session) explain(id string, files []string, step bool) error {
	var logs []explain.Log
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		defer f.Close()
		source := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		logs = append(logs, explain.Log{Source: source, Reader: f})
	}
	if step {
		analyzed, err := explain.AnalyzeStep(id, logs)
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		return analyzed.Write(s.Stdout)
	}
	lines, err := explain.Collect(id, logs)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	if len(lines) == 0 {
		return withExitCode(ExitFailed, errors.Errorf("no line in these logs contains ID %s", id))
	}
	return explain.Write(s.Stdout, lines)
}
