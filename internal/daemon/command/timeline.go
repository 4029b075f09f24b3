package command

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// eventTime is the layout of an event's time in text output.
const eventTime = "15:04:05.000"

func (s *session) addTimeline(a *kingpin.Application) {
	c := a.Command("timeline", "Show the events of all daemons in one order.")
	since := c.Flag("since", "How far back, for example 10m; all recorded events without it.").Duration()
	limit := c.Flag("limit", "Number of events, the newest ones.").Default("200").Uint32()
	kinds := c.Flag("kind", "Only events of this kind; may be given more than once.").Enums(kindNames()...)
	c.Action(func(*kingpin.ParseContext) error {
		r := &operatorv1.ListEventsRequest{Limit: *limit}
		if *since > 0 {
			r.Since = timestamppb.New(time.Now().Add(-*since))
		}
		a, err := operatorCall(s, s.operatorService().ListEvents, r)
		if err != nil {
			return err
		}
		for _, l := range a.GetEvents() {
			if err := s.printEvent(l, *kinds); err != nil {
				return err
			}
		}
		for _, u := range a.GetUnreachable() {
			fmt.Fprintf(s.Stderr, "%s: daemon %s did not answer; its events are missing\n", Program, u)
		}
		return nil
	})
}

// printEvent prints the event that a JSON line encodes, if its kind is among kinds
// or kinds is empty.
func (s *session) printEvent(line string, kinds []string) error {
	e, err := timeline.Decode([]byte(line))
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	if len(kinds) > 0 && !slices.Contains(kinds, string(e.Kind)) {
		return nil
	}
	if s.output == outputJSON {
		fmt.Fprintln(s.Stdout, line)
		return nil
	}
	writeEvent(s.Stdout, e)
	return nil
}

func kindNames() []string {
	var names []string
	for _, k := range timeline.Kinds() {
		names = append(names, string(k))
	}
	return names
}

func writeEvent(w io.Writer, e timeline.Event) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-21s %-18s", e.At.Format(eventTime), e.Process, e.Kind)
	for _, f := range []struct {
		name  string
		value any
		shown bool
	}{
		{name: "request", value: e.Request, shown: e.Request != ""},
		{name: "workspace", value: e.Workspace, shown: e.Workspace != ""},
		{name: "server", value: e.Server, shown: e.Server != ""},
		{name: "duty", value: e.Duty, shown: e.Duty != ""},
		{name: "epoch", value: e.Epoch, shown: e.Epoch != 0},
		{name: "revision", value: e.Revision, shown: e.Revision != 0},
		{name: "version", value: e.Version, shown: e.Version != 0},
		{name: "detail", value: e.Detail, shown: e.Detail != ""},
	} {
		if f.shown {
			fmt.Fprintf(&b, " %s=%v", f.name, f.value)
		}
	}
	fmt.Fprintln(w, b.String())
}
