package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

var at = netip.MustParseAddrPort("127.0.0.1:80")

// serve serves h within the synctest bubble of a test and returns a client.
func serve(t *testing.T, h http.Handler, options ...engine.Option) *engine.HTTP {
	var network link.Network
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	l := network.Listen(at)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		// Wait until abandoned dials have timed out.
		time.Sleep(time.Minute)
	})
	return engine.NewHTTP(at, exchange.New(exchange.WithDial(network.Dial)), options...)
}

// collect generates a response and returns its text and the chunks.
func collect(e *engine.HTTP) (string, []engine.Chunk, error) {
	var text strings.Builder
	var chunks []engine.Chunk
	r := engine.Request{ID: "1", Attempt: "a", Prompt: "ovens", MaxTokens: 40}
	err := e.Generate(context.Background(), r, func(c engine.Chunk) error {
		text.WriteString(c.Text)
		chunks = append(chunks, c)
		return nil
	})
	return text.String(), chunks, err
}

// TestMergedChunksKeepVersions sends chunks of two weight versions at once:
// only runs of the same version are merged, so that each token keeps the version
// that generated it.
func TestMergedChunksKeepVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines []string
		for n, version := range []int{1, 1, 2, 2, 2, 1} {
			lines = append(lines, strings.ReplaceAll(chunk(n, 1, "t", false), `"Version":1`, fmt.Sprintf(`"Version":%d`, version)))
		}
		lines = append(lines, chunk(6, 0, "", true))
		_, chunks, err := collect(serve(t, respond(lines...)))
		must.NoError(t, err)
		must.Eq(t, []engine.Chunk{
			{Attempt: "a", Offset: 0, Text: "tt", Tokens: 2, Version: 1},
			{Attempt: "a", Offset: 2, Text: "ttt", Tokens: 3, Version: 2},
			{Attempt: "a", Offset: 5, Text: "t", Tokens: 1, Version: 1, End: true},
		}, chunks)
	})
}

// TestReadIntervalLosesNoTokens reads a slow response with a read interval: no
// token is lost, and the first one is not delayed.
func TestReadIntervalLosesNoTokens(t *testing.T) {
	for _, interval := range []time.Duration{0, time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := standengine.New(standengine.WithTokensPerSecond(10))
			start := time.Now()
			var first time.Duration
			e := serve(t, s, engine.WithReadInterval(func() time.Duration {
				if first == 0 {
					first = time.Since(start)
				}
				return interval
			}))
			text, _, err := collect(e)
			must.NoError(t, err)
			must.EqOp(t, standengine.Text("ovens", 0, 0, 40), text)
			must.EqOp(t, 100*time.Millisecond, first)
		})
	}
}

// TestLoadWaitsForSlowSwap swaps weights for longer than the read timeout of a
// stream.
func TestLoadWaitsForSlowSwap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standengine.New(standengine.WithSwapTime(20 * time.Second))
		e := serve(t, s)
		must.NoError(t, e.Load(context.Background(), engine.LoadOrder{ID: "o", Epoch: 1, Version: 2}))
		must.EqOp(t, 2, s.Version())
	})
}

// respond writes a response of raw lines.
func respond(lines ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.PathStatus {
			_, _ = io.WriteString(w, "{}")
			return
		}
		w.Header().Set(engine.AttemptHeader, "a")
		for _, l := range lines {
			_, _ = io.WriteString(w, l)
		}
	})
}

func chunk(offset, tokens int, text string, end bool) string {
	return fmt.Sprintf(`{"Attempt":"a","Offset":%d,"Tokens":%d,"Text":%q,"Version":1,"End":%v}`+"\n", offset, tokens, text, end)
}

func TestGenerateChecksChunks(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	for _, x := range []struct {
		name  string
		lines []string
		text  string
		want  error
	}{
		{name: "complete", lines: []string{chunk(0, 1, "a", false), "\n", chunk(1, 2, "bc", true)}, text: "abc"},
		{name: "long line", lines: []string{chunk(0, 1, long, false), chunk(1, 0, "", true)}, text: long},
		{name: "unterminated long line", lines: []string{strings.Repeat("y", 2<<20)}, want: engine.ErrTruncated},
		{name: "unfinished line", lines: []string{chunk(0, 1, "a", false), `{"Attempt":"a"`}, text: "a", want: engine.ErrTruncated},
		{name: "not a chunk", lines: []string{chunk(0, 1, "a", false), "hello\n"}, text: "a", want: engine.ErrProtocol},
		{name: "duplicate", lines: []string{chunk(0, 1, "a", false), chunk(0, 1, "a", false), chunk(1, 0, "", true)}, text: "a"},
		{name: "gap", lines: []string{chunk(0, 1, "a", false), chunk(2, 1, "c", false)}, text: "a", want: engine.ErrProtocol},
		{name: "overlap", lines: []string{chunk(0, 2, "ab", false), chunk(1, 2, "bc", false)}, text: "ab", want: engine.ErrProtocol},
		{name: "negative", lines: []string{chunk(0, -1, "a", false)}, want: engine.ErrProtocol},
		{name: "after the end", lines: []string{chunk(0, 1, "a", true), chunk(1, 1, "b", false)}, text: "a"},
		{name: "another attempt", lines: []string{strings.ReplaceAll(chunk(0, 1, "a", true), `"a","O`, `"b","O`)}, want: engine.ErrProtocol},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				text, _, err := collect(serve(t, respond(x.lines...)))
				must.EqOp(t, x.text, text)
				if x.want == nil {
					must.NoError(t, err)
					return
				}
				must.ErrorIs(t, err, x.want)
			})
		})
	}
}

// TestEmitErrorIsReturned returns an error from emit, which ends the stream.
func TestEmitErrorIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := serve(t, respond(chunk(0, 1, "a", true)))
		stop := errors.New("stop")
		err := e.Generate(context.Background(), engine.Request{Attempt: "a"}, func(engine.Chunk) error { return stop })
		must.ErrorIs(t, err, stop)
	})
}
