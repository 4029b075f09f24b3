package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/front/sse"
)

const stream = "id: 1\ndata: a\n\n: comment\nid: 2\nweights: 7\ndata: b\ndata: c\n\n"

func read(r io.Reader) ([]sse.Event, error) {
	events := sse.NewReader(r)
	var out []sse.Event
	for {
		e, err := events.Next()
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

func TestEvents(t *testing.T) {
	got, err := read(iotest.OneByteReader(strings.NewReader(stream)))
	must.ErrorIs(t, err, io.EOF)
	must.Len(t, 2, got)
	must.Eq(t, "a", got[0].Data)
	must.Eq(t, 2, got[1].ID)
	must.Eq(t, "b\nc", got[1].Data)
	must.Eq(t, "7", got[1].Fields["weights"])
	must.Eq(t, stream, string(got[0].Raw)+string(got[1].Raw))
}

// TestTruncatedEventIsNotReturned truncates a stream at each byte: only complete
// events must be returned, and the error must distinguish an end within an event
// from one between two events.
func TestTruncatedEventIsNotReturned(t *testing.T) {
	for cut := range len(stream) {
		got, err := read(strings.NewReader(stream[:cut]))
		complete := strings.Count(stream[:cut], "\n\n")
		must.Len(t, complete, got)
		if cut == 0 || strings.HasSuffix(stream[:cut], "\n\n") {
			must.ErrorIs(t, err, io.EOF)
			continue
		}
		must.ErrorIs(t, err, sse.ErrTruncated)
	}
}

func TestReadErrorIsReturned(t *testing.T) {
	reset := errors.New("reset")
	_, err := read(io.MultiReader(strings.NewReader("id: 1\nda"), iotest.ErrReader(reset)))
	must.ErrorIs(t, err, reset)
}

func FuzzReader(f *testing.F) {
	f.Add(stream)
	f.Add("id: x\n\n")
	f.Fuzz(func(_ *testing.T, text string) {
		// The reader must terminate on any input.
		_, _ = read(strings.NewReader(text))
	})
}

// endlessReader repeats a text without end, and counts the bytes read.
type endlessReader struct {
	text string
	read int
}

func (e *endlessReader) Read(b []byte) (int, error) {
	for n := range b {
		b[n] = e.text[(e.read+n)%len(e.text)]
	}
	e.read += len(b)
	return len(b), nil
}

// TestEndlessEventIsCutOff reads events that never end, in one line or in many.
func TestEndlessEventIsCutOff(t *testing.T) {
	for _, text := range []string{"data", "data: a\n", ": comment\n", "\n", "unknown: field\n"} {
		r := &endlessReader{text: text}
		_, err := sse.NewReader(r).Next()
		must.ErrorIs(t, err, sse.ErrTooLong, must.Sprint(text))
		must.Less(t, 1<<20, r.read)
	}
}
