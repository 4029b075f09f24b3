// Package sse reads streams of server-sent events.
package sse

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrTorn says that a stream ended in the middle of an event.
var ErrTorn = errors.New("sse: stream ended within an event")

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Event is one event.
type Event struct {
	ID int
	// Data holds the lines of data, joined by line feeds.
	Data string
	// Fields holds the lines with names that are not of the protocol, by name.
	Fields map[string]string
	// Raw holds the bytes of the event, with the empty line that ends it.
	Raw []byte
}

// Reader reads events. Use NewReader.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a Reader of a stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 1<<10)}
}

// Next returns the next whole event. At the end of the stream its error is
// io.EOF, and ErrTorn where that falls within an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	var data []string
	begun := false
	for {
		line, raw, err := r.line()
		e.Raw = append(e.Raw, raw...)
		if err != nil {
			if errors.Is(err, io.EOF) && (begun || line != "") {
				return Event{}, ErrTorn
			}
			return Event{}, err
		}
		if line == "" {
			if !begun {
				continue
			}
			e.Data = strings.Join(data, "\n")
			return e, nil
		}
		begun = true
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "":
			// A comment.
		case "id":
			id, err := strconv.Atoi(value)
			if err != nil {
				return Event{}, errors.Wrap(err, "sse: id")
			}
			e.ID = id
		case "data":
			data = append(data, value)
		default:
			if e.Fields == nil {
				e.Fields = make(map[string]string)
			}
			e.Fields[name] = value
		}
	}
}

// line returns a line without its end, and as it came.
func (r *Reader) line() (string, []byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(line) < maxLine {
			continue
		}
		text := strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r")
		return text, line, err
	}
}
