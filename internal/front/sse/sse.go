// Package sse reads streams of server-sent events.
package sse

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrTruncated is returned when a stream ends in the middle of an event.
var ErrTruncated = errors.New("sse: stream ended within an event")

// ErrTooLong is returned when an event is longer than maxEventBytes: a faulty server may
// send bytes without end.
var ErrTooLong = errors.New("sse: event too long")

// maxEventBytes is the maximum length of an event, with its comments and the empty lines
// before it.
const maxEventBytes = 256 << 10

// Event is a server-sent event.
type Event struct {
	ID int
	// Data holds the lines of data, joined by line feeds.
	Data string
	// Fields holds the values of other fields than id and data, by name.
	Fields map[string]string
	// Raw holds the bytes of the event, including the empty line that ends it.
	Raw []byte
}

// Reader reads events from a stream. Use NewReader.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 1<<10)}
}

// Next returns the next complete event. At the end of the stream its error is
// io.EOF, or ErrTruncated if the stream ends within an event. It is ErrTooLong if the event
// is too long.
func (r *Reader) Next() (Event, error) {
	var e Event
	var data []string
	inEvent := false
	for {
		line, raw, err := r.line(maxEventBytes - len(e.Raw))
		e.Raw = append(e.Raw, raw...)
		if err != nil {
			if errors.Is(err, io.EOF) && (inEvent || line != "") {
				return Event{}, ErrTruncated
			}
			return Event{}, err
		}
		if line == "" {
			if !inEvent {
				continue
			}
			e.Data = strings.Join(data, "\n")
			return e, nil
		}
		inEvent = true
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "":
			// Comment lines are kept in Raw only.
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

// line returns the next line without its line ending, and its raw bytes. Its error is
// ErrTooLong if these are more than limit.
func (r *Reader) line(limit int) (string, []byte, error) {
	var line []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return "", nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		text := strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r")
		return text, line, err
	}
}
