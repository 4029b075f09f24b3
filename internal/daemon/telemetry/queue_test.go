package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestQueueNeverBlocks writes ten times the capacity of a queue while nothing
// reads its output.
func TestQueueNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	q := NewQueue(w)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 10 * queueBytes / len(line) {
		n, err := q.Write(line)
		must.NoError(t, err)
		must.Eq(t, len(line), n)
	}
	must.Positive(t, q.Dropped())
	// Once the output is read again, the buffered lines arrive complete.
	read := make(chan int)
	go func() {
		b, _ := io.ReadAll(r)
		read <- bytes.Count(b, line)
	}()
	q.Close(time.Minute)
	must.NoError(t, w.Close())
	must.Positive(t, <-read)
}

func TestSampledLoggerCountsDroppedLines(t *testing.T) {
	var b bytes.Buffer
	var s DroppedLines
	l, err := NewSampledLogger(&b, "info", &s)
	must.NoError(t, err)
	for range 1000 {
		l.Info("often")
	}
	l.Info("seldom")
	written := strings.Count(b.String(), "often")
	must.Eq(t, 1000, int64(written)+s.Count())
	must.Less(t, 200, written)
	must.StrContains(t, b.String(), "seldom")
}

func BenchmarkSampledLogger(b *testing.B) {
	var s DroppedLines
	l, err := NewSampledLogger(io.Discard, "info", &s)
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		l.Info("results listed", Request("0123456789abcdef"))
	}
}
