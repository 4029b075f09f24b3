package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/control/check"
)

// checkResult is the output of config check.
type checkResult struct {
	Findings []check.Finding
	// Changes are the differences from the version in effect, if it was given.
	Changes []check.Change
}

// addConfigCheck adds the command that examines a configuration of the users' platform
// before it is published.
func (s *session) addConfigCheck(c *kingpin.CmdClause) {
	examine := c.Command("check", "Examine a configuration for the users' platform. Exits with 1 if there are findings, and with 2 if it can't be read.")
	file := examine.Arg("file", "File with the configuration, - for standard input.").Required().String()
	against := examine.Flag("against", "File with the version in force, to show what differs.").String()
	examine.Action(func(*kingpin.ParseContext) error { return s.checkConfig(*file, *against) })
}

func (s *session) checkConfig(file, against string) error {
	d, err := s.readDocument(file)
	if err != nil {
		return err
	}
	r := checkResult{Findings: check.Examine(d)}
	if against != "" {
		inForce, err := s.readDocument(against)
		if err != nil {
			return err
		}
		if d.Version <= inForce.Version {
			r.Findings = append(r.Findings, check.OutdatedVersion(d, inForce))
		}
		r.Changes = check.Diff(inForce, d)
	}
	if len(r.Findings) > 0 {
		s.code = ExitFailed
	}
	return s.print(r, r.write)
}

// readDocument reads a configuration of the users' platform.
func (s *session) readDocument(file string) (check.Document, error) {
	if s.DecodeDocument == nil {
		return check.Document{}, errors.Wrap(ErrUsage, "this program has no decoder for the users' platform")
	}
	b, err := readFile(file)
	if err != nil {
		return check.Document{}, err
	}
	d, err := s.DecodeDocument(b)
	return d, errors.Wrap(err, file)
}

func (r checkResult) write(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	fmt.Fprintf(w, "%d findings, %d changes\n", len(r.Findings), len(r.Changes))
}
