// Package window counts usage in windows of time and reports each window once.
//
// Daemons write parts to the table while a window is open. The holder of the duty
// Usage closes the window, after which no part of it can be written, adds up the
// parts, seals the totals in one row and reports the bytes of that row. Usage
// that arrives after the window is closed is reported in a later window, as an
// adjustment that names the window it belongs to.
package window

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// Grace is the time from a window's end until it may be closed.
	Grace = 30 * time.Second
	// Length is the duration of a window.
	Length = time.Minute

	// layout is the time format of an ID.
	layout = "20060102T150405Z"
)

// ID identifies a window by its start in UTC. IDs sort by time.
type ID string

// Totals is the content of one window's report.
type Totals struct {
	Region fleet.Region
	Window ID
	// Lines is sorted by Subject, with one line per Subject.
	Lines []Line
}

// Line is the usage of one subject.
type Line struct {
	Subject  Subject
	Requests uint64
	Tokens   uint64
}

// Part is the usage of one window that one daemon counted in one interval.
type Part struct {
	Window ID
	// Sequence numbers the parts of one incarnation, from 1.
	Sequence uint64
	Lines    []Line
}

// Subject is the key by which usage is counted.
type Subject struct {
	Workspace fleet.Workspace
	Pool      fleet.Pool
	Kind      fleet.Kind
	// Adjusts is the window that the usage belongs to if that was closed
	// before the usage was written; otherwise it is empty.
	Adjusts ID `json:",omitempty"`
}

// counter adds up lines by subject. The zero value is empty.
type counter struct {
	lines map[Subject]Line
}

// Of returns the window that contains t.
func Of(t time.Time) ID {
	return ID(t.UTC().Truncate(Length).Format(layout))
}

// End returns the end of the window.
func (i ID) End() (time.Time, error) {
	t, err := time.Parse(layout, string(i))
	return t.Add(Length), errors.Wrap(err, "window")
}

// Next returns the following window. An invalid ID is returned unchanged.
func (i ID) Next() ID {
	return i.add(Length)
}

func (i ID) add(d time.Duration) ID {
	t, err := time.Parse(layout, string(i))
	if err != nil {
		return i
	}
	return Of(t.Add(d))
}

// Sum adds up parts. The result does not depend on their order.
func Sum(r fleet.Region, w ID, parts []Part) Totals {
	var c counter
	for _, p := range parts {
		for _, l := range p.Lines {
			c.add(l)
		}
	}
	return Totals{Region: r, Window: w, Lines: c.sorted()}
}

func (c *counter) add(l Line) {
	if c.lines == nil {
		c.lines = make(map[Subject]Line)
	}
	s := c.lines[l.Subject]
	s.Subject = l.Subject
	s.Requests += l.Requests
	s.Tokens += l.Tokens
	c.lines[l.Subject] = s
}

func (c *counter) sorted() []Line {
	lines := make([]Line, 0, len(c.lines))
	for _, l := range c.lines {
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(a, b Line) int { return compare(a.Subject, b.Subject) })
	return lines
}

func compare(a, b Subject) int {
	return cmp.Or(
		cmp.Compare(a.Adjusts, b.Adjusts),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Pool, b.Pool),
		cmp.Compare(a.Kind, b.Kind),
	)
}

// decode decodes a row. The value of an absent row is zero.
func decode[T any](r table.Row) (T, error) {
	var v T
	if r.Version == 0 {
		return v, nil
	}
	return v, errors.Wrapf(json.Unmarshal(r.Value, &v), "window: decode row %s", r.Key)
}
