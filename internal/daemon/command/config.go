package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// standardInput is the file name that means standard input.
const standardInput = "-"

// revisionEntry is a revision as printed by config history.
type revisionEntry struct {
	Revision fleet.ConfigRevision
	At       time.Time
	Operator string
	Reason   string
}

func (s *session) addConfig(a *kingpin.Application) {
	c := a.Command("config", "Read and change the complete configuration: workspaces, keys, pools, routes and the rest.")

	get := c.Command("get", "Print a revision as YAML.")
	revision := get.Flag("revision", "Number of the revision; the newest without it.").Uint64()
	get.Action(func(*kingpin.ParseContext) error {
		return s.printConfig(fleet.ConfigRevision(*revision))
	})

	diff := c.Command("diff", "Show what a file would change in the newest revision.")
	diffFile := diff.Arg("file", "File with the document, - for standard input.").Required().String()
	diff.Action(func(*kingpin.ParseContext) error { return s.diffConfig(*diffFile) })

	apply := c.Command("apply", "Apply a file as the next revision. It is refused if its base revision is no longer the newest one.")
	applyFile := apply.Arg("file", "File with the document, - for standard input.").Required().String()
	base := apply.Flag("base", "Revision that the document is based on; its Revision field without this flag.").Default("-1").Int64()
	reason := apply.Flag("reason", "Reason, recorded in the history.").Required().String()
	apply.Action(func(*kingpin.ParseContext) error { return s.applyConfig(*applyFile, *base, *reason) })

	s.addConfigCheck(c)

	history := c.Command("history", "List revisions, the newest first.")
	limit := history.Flag("limit", "Number of revisions.").Default("20").Uint32()
	history.Action(func(*kingpin.ParseContext) error { return s.listHistory(*limit) })
}

func (s *session) applyConfig(file string, base int64, reason string) error {
	c, err := readConfig(file)
	if err != nil {
		return err
	}
	if base >= 0 {
		c.Revision = fleet.ConfigRevision(base)
	}
	a, err := s.apply(c.Revision, c, reason)
	if err != nil {
		return err
	}
	return s.printApplied(a, "configuration applied")
}

func (s *session) diffConfig(file string) error {
	next, err := readConfig(file)
	if err != nil {
		return err
	}
	c, err := s.current(0)
	if err != nil {
		return err
	}
	changes := config.Diff(c, next)
	return s.print(changes, func(w io.Writer) {
		for _, d := range changes {
			fmt.Fprintln(w, d)
		}
	})
}

func (s *session) listHistory(limit uint32) error {
	a, err := operatorCall(s, s.operatorService().ListConfig, &operatorv1.ListConfigRequest{Limit: limit})
	if err != nil {
		return err
	}
	var l []revisionEntry
	for _, r := range a.GetRevisions() {
		l = append(l, revisionEntry{
			Revision: fleet.ConfigRevision(r.GetRevision()),
			At:       r.GetAt().AsTime(),
			Operator: r.GetOperator(),
			Reason:   r.GetReason(),
		})
	}
	return s.print(l, func(w io.Writer) {
		table(w, func(w io.Writer) {
			row(w, "REVISION", "AT", "OPERATOR", "REASON")
			for _, e := range l {
				row(w, e.Revision, e.At.Format(time.RFC3339), e.Operator, e.Reason)
			}
		})
	})
}

func (s *session) printConfig(r fleet.ConfigRevision) error {
	c, err := s.current(r)
	if err != nil {
		return err
	}
	b, err := config.Marshal(c)
	if err != nil {
		return err
	}
	return s.print(c, func(w io.Writer) { fmt.Fprint(w, string(b)) })
}

// readConfig reads a document from a file or from standard input.
func readConfig(file string) (config.Config, error) {
	b, err := readFile(file)
	if err != nil {
		return config.Config{}, err
	}
	c, err := config.Parse(b)
	return c, errors.Wrap(err, file)
}

// readFile reads a file or standard input. Its errors wrap ErrUsage.
func readFile(file string) ([]byte, error) {
	var b []byte
	var err error
	if file == standardInput {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(file)
	}
	return b, wrapUsage(err)
}

// wrapUsage returns an error that wraps ErrUsage, or nil if err is nil.
func wrapUsage(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrUsage, err.Error())
}
