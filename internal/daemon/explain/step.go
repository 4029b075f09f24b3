package explain

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Messages of the lines that describe a training step, and their fields.
const (
	messageAccepted   = "job accepted"
	messageClassified = "step classified"
	messageCompleted  = "item completed"
	messageAbandoned  = "item abandoned"
	messageListed     = "results listed"
	messageEnded      = "job ended"

	groupField   = "Group"
	sizeField    = "GroupItems"
	stepField    = "Step"
	desiredField = "Desired"
	eventsField  = "Events"
	runsField    = "Runs"
	serverField  = "Server"
	lateField    = "Late"
	reasonField  = "Reason"
	tokensField  = "Tokens"
	slotsField   = "Slots"
)

// ErrNoStep is returned when the logs do not contain the acceptance of a step and the
// completion of the groups that its trainer desired.
var ErrNoStep = errors.New("explain: step not accepted, or not complete, in these logs")

// cause is a part of the time of the item that ended a step, by the field of its line.
type cause struct {
	field, text string
}

// causes are the parts of an item's time, in their usual order.
var causes = []cause{
	{"Waited", "waiting for a server"},
	{"Starting", "until the first event of each run"},
	{"Generating", "between events, at the usual pace"},
	{"Stalled", "between events, beyond the usual pace"},
	{"Interrupted", "in runs that ended early, after their last event"},
	{"Scoring", "waiting for the score"},
}

// Step is how a training step spent its time: on the item that completed the last
// group that the trainer desired.
type Step struct {
	Job           string
	Number        int
	Desired       int
	AcceptedAt    time.Time
	Last          Line
	ListedAfter   time.Duration
	EndedAfter    time.Duration
	completeAfter time.Duration
	// incomplete is whether the groups that the trainer desired were not completed.
	incomplete bool
	// classes are the lines in which the step became late or on time.
	classes []Line
}

// AnalyzeStep returns how the step of a job spent its time.
func AnalyzeStep(job string, logs []Log) (Step, error) {
	lines, err := collectJob(job, logs)
	if err != nil {
		return Step{}, err
	}
	s := Step{Job: job}
	var finished []Line
	for _, l := range lines {
		switch l.Message {
		case messageAccepted:
			if s.AcceptedAt.IsZero() {
				s.AcceptedAt, s.Number, s.Desired = l.At, l.number(stepField), l.number(desiredField)
			}
		case messageCompleted, messageAbandoned:
			finished = append(finished, l)
		case messageClassified:
			s.addClass(l)
		}
	}
	last, ok := lastDesired(finished, s.Desired)
	if !s.AcceptedAt.IsZero() && !ok && len(s.classes) > 0 {
		s.incomplete = true
		return s, nil
	}
	if s.AcceptedAt.IsZero() || !ok {
		return Step{}, errors.Wrap(ErrNoStep, job)
	}
	s.Last, s.completeAfter = last, last.At.Sub(s.AcceptedAt)
	for _, l := range lines {
		switch {
		case l.Message == messageListed && l.Source == last.Source && s.ListedAfter == 0 && !l.At.Before(last.At):
			s.ListedAfter = l.At.Sub(last.At)
		case l.Message == messageEnded && s.EndedAfter == 0 && !l.At.Before(last.At):
			s.EndedAfter = l.At.Sub(last.At)
		}
	}
	return s, nil
}

// addClass adds a line in which the step became late or on time. Each daemon logs its own
// decision; only the first of several that agree is added.
func (s *Step) addClass(l Line) {
	before := false
	if n := len(s.classes); n > 0 {
		before = s.classes[n-1].late()
	}
	if l.late() != before {
		s.classes = append(s.classes, l)
	}
}

// late reports whether a line contains that a step is late.
func (l Line) late() bool {
	late, _ := l.Fields[lateField].(bool)
	return late
}

// writeClasses returns the decisions about a step under overload, as text.
func (s Step) writeClasses() string {
	out := ""
	for _, l := range s.classes {
		class := "can be on time"
		if l.late() {
			class = "counts as late"
		}
		slots, _ := l.Fields[slotsField].(float64)
		out += fmt.Sprintf("%9.3f s  after the job was accepted: %s, %v (%d tokens; guaranteed slots of the trainer: %.1f)\n",
			l.At.Sub(s.AcceptedAt).Seconds(), class, l.Fields[reasonField], l.number(tokensField), slots)
	}
	return out
}

// collectJob returns the lines of a job, sorted by time.
func collectJob(job string, logs []Log) ([]Line, error) {
	var out []Line
	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}
		for _, x := range lines {
			if x.Fields[jobField] == job {
				out = append(out, x)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// lastDesired returns the line of the item that made the desired number of groups complete.
func lastDesired(finished []Line, desired int) (Line, bool) {
	items := make(map[any]map[any]bool)
	complete := 0
	for _, l := range finished {
		group := l.Fields[groupField]
		if items[group] == nil {
			items[group] = make(map[any]bool)
		}
		if items[group][l.Fields[itemField]] {
			continue
		}
		items[group][l.Fields[itemField]] = true
		if len(items[group]) != l.number(sizeField) {
			continue
		}
		if complete++; complete == desired {
			return l, true
		}
	}
	return Line{}, false
}

// Write prints the step.
func (s Step) Write(w io.Writer) error {
	if s.incomplete {
		_, err := fmt.Fprintf(w, "step %d, job %s: %d groups not complete in these logs\n%s", s.Number, s.Job, s.Desired, s.writeClasses())
		return errors.Wrap(err, "explain: write")
	}
	line := func(seconds float64, text string) string { return fmt.Sprintf("%9.3f s  %s\n", seconds, text) }
	out := fmt.Sprintf("step %d, job %s: item %v of group %v completed the last of %d groups %.3f s after the job was accepted (%d events, %d runs, server %v)\n",
		s.Number, s.Job, s.Last.Fields[itemField], s.Last.Fields[groupField], s.Desired, s.completeAfter.Seconds(),
		s.Last.number(eventsField), s.Last.number(runsField), s.Last.Fields[serverField])
	known := 0.0
	for _, c := range causes {
		seconds, _ := s.Last.Fields[c.field].(float64)
		known += seconds
		out += line(seconds, c.text)
	}
	out += line(s.completeAfter.Seconds()-known, "elsewhere: before its daemon had it, or at a daemon that ended")
	out += line(s.ListedAfter.Seconds(), "until the result was listed")
	out += line((s.EndedAfter - s.ListedAfter).Seconds(), "until the trainer ended the job")
	out += s.writeClasses()
	_, err := io.WriteString(w, out)
	return errors.Wrap(err, "explain: write")
}

// number returns a field that holds a whole number, or 0 if there is none.
func (l Line) number(field string) int {
	v, _ := l.Fields[field].(float64)
	return int(v)
}
