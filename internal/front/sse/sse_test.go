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
