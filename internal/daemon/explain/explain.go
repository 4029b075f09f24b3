// Package explain collects the log lines of one request, batch job or item from
// the logs of many daemons.
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

// maxLine limits the length of a log line, in bytes.
const maxLine = 1 << 20

// Fields of every log line.
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

// Line is one structured log line.
type Line struct {
	At      time.Time
	Source  string
	Message string
	// Fields holds the other fields, without the level.
	Fields map[string]any
}

// Log is the output of one daemon.
type Log struct {
	// Source is the name of the daemon.
	Source string
	Reader io.Reader
}

// Collect returns the lines that have id in a field, and the lines about its job
// that have no item, sorted by time. Unstructured lines are skipped.
func Collect(id string, logs []Log) ([]Line, error) {
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
		if job, ok := l.Fields[jobField].(string); ok && l.hasValue(id) {
			jobs[job] = true
		}
	}
	var out []Line
	for _, l := range all {
		if l.hasValue(id) || l.describesJob(jobs) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// Write prints lines with times relative to the first line.
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

// hasValue reports whether a field of the line has the value id.
func (l Line) hasValue(id string) bool {
	for _, v := range l.Fields {
		if v == id {
			return true
		}
	}
	return false
}

// describesJob reports whether the line is about one of the jobs and not about
// an item.
func (l Line) describesJob(jobs map[string]bool) bool {
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

// decode decodes a line and reports whether it is a structured log line. Text
// before the JSON object is skipped.
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
