// Package explain picks the story of one request out of the logs of many
// daemons.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Fields that every line has.
const (
	fieldAt      = "At"
	fieldLevel   = "Level"
	fieldMessage = "Message"
)

// jobField and itemField link the lines of an item to those of its job.
const (
	jobField  = "Job"
	itemField = "Item"
)

// Line is a line of a log.
type Line struct {
	At      time.Time
	Source  string
	Message string
	// Fields holds all others.
	Fields map[string]any
}

// Log is the output of one daemon.
type Log struct {
	// Source names the daemon.
	Source string
	Reader io.Reader
}

// Story returns the lines that name an ID, and the lines of its job that name no
// item, in order of their times. Lines that are not structured are passed over.
func Story(id string, logs []Log) ([]Line, error) {
	var all []Line
	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	jobs := map[string]bool{id: true}
	for _, l := range all {
		if job, ok := l.Fields[jobField].(string); ok && l.names(id) {
			jobs[job] = true
		}
	}
	var out []Line
	for _, l := range all {
		if l.names(id) || l.ofJobs(jobs) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// Write prints lines, with times counted from the first one.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var b strings.Builder
		fmt.Fprintf(&b, "%9.3f s  %-16s %s", l.At.Sub(lines[0].At).Seconds(), l.Source, l.Message)
		for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
			fmt.Fprintf(&b, "  %s=%v", k, l.Fields[k])
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return errors.Wrap(err, "explain: write")
		}
	}
	return nil
}

// names reports whether a field of a line has a value.
func (l Line) names(id string) bool {
	for _, v := range l.Fields {
		if v == id {
			return true
		}
	}
	return false
}

// ofJobs reports whether a line tells of one of the jobs as a whole.
func (l Line) ofJobs(jobs map[string]bool) bool {
	job, ok := l.Fields[jobField].(string)
	_, item := l.Fields[itemField]
	return ok && !item && jobs[job]
}

func read(l Log) ([]Line, error) {
	s := bufio.NewScanner(l.Reader)
	s.Buffer(nil, maxLine)
	var out []Line
	for s.Scan() {
		line, ok := decode(l.Source, s.Bytes())
		if ok {
			out = append(out, line)
		}
	}
	return out, errors.Wrapf(s.Err(), "explain: %s", l.Source)
}

// decode reads a line; what stands before the structured part is passed over.
func decode(source string, text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source}
	if err := json.Unmarshal(text[start:], &l.Fields); err != nil {
		return Line{}, false
	}
	at, _ := l.Fields[fieldAt].(string)
	var err error
	if l.At, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return Line{}, false
	}
	l.Message, _ = l.Fields[fieldMessage].(string)
	for _, k := range []string{fieldAt, fieldLevel, fieldMessage} {
		delete(l.Fields, k)
	}
	return l, true
}
