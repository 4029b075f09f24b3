package proxy_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/caller/proxy"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
)

// benchStreamTokens is the number of tokens of a measured stream.
const benchStreamTokens = 215

// path is one path from a caller to the engine, direct or through a daemon.
type path struct {
	name string
	url  string
	kind string
	body []byte
}

// measurement contains the latencies and the cost of the streams over one path.
type measurement struct {
	first, complete *hdrhistogram.Histogram
	cpu             time.Duration
	tokens          int
}

func listen(b *testing.B) net.Listener {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(b, err)
	return l
}

// paths starts an engine and a daemon on TCP and returns the direct path to the
// engine and the one through the daemon.
func paths(b *testing.B, tokensPerSecond float64, paced bool) []path {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	e := standengine.New(standengine.WithTokensPerSecond(tokensPerSecond), standengine.WithCapacity(10_000))
	engineListener, daemonListener := listen(b), listen(b)
	go func() { _ = e.Serve(ctx, engineListener) }()
	s := &view.Memory{}
	s.Change(func(s *view.State) {
		s.Config = config.NewSnapshot(document())
		s.ConfirmedUntil = time.Now().Add(time.Hour)
		s.Servers = []fleet.Server{{
			ID: "engine", Pool: "assistant", State: fleet.StateLive,
			Address: netip.MustParseAddrPort(engineListener.Addr().String()),
		}}
	})
	o := proxy.Options{Gate: &gate.FirstLive{Source: s}, Source: s}
	if !paced {
		c := exchange.New()
		o.Engines = func(s fleet.Server) engine.Engine { return engine.NewHTTP(s.Address, c) }
	}
	m := http.NewServeMux()
	m.Handle(proxy.NewHTTPHandler(proxy.NewGenerationHandler(o, proxy.NewGenerator(o), proxy.NewActiveRequests(s))))
	h := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = h.Serve(daemonListener) }()
	b.Cleanup(func() { _ = h.Close() })
	direct, err := json.Marshal(engine.Request{Attempt: "a", Prompt: "ovens", MaxTokens: benchStreamTokens})
	must.NoError(b, err)
	message := fmt.Appendf(nil, `{"pool":"assistant","prompt":"ovens","maxTokens":%d}`, benchStreamTokens)
	framed := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	return []path{
		{"Direct", "http://" + engineListener.Addr().String() + engine.PathGenerate, "application/json", direct},
		{
			"Daemon", "http://" + daemonListener.Addr().String() + "/lacewingtally.caller.v1.GenerationService/Generate",
			"application/connect+json", append(framed, message...),
		},
	}
}

// stream reads one stream to its end and returns the time to its first byte and
// to its last.
func stream(b *testing.B, c *http.Client, p path) (first, complete time.Duration) {
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, p.url, bytes.NewReader(p.body))
	must.NoError(b, err)
	r.Header.Set("Content-Type", p.kind)
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.Do(r)
	must.NoError(b, err)
	defer resp.Body.Close()
	var buf [1]byte
	_, err = io.ReadFull(resp.Body, buf[:])
	must.NoError(b, err)
	first = time.Since(start)
	n, err := io.Copy(io.Discard, resp.Body)
	must.NoError(b, err)
	must.Greater(b, int64(benchStreamTokens), n)
	return first, time.Since(start)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure runs a number of streams, at most concurrency at a time.
func measure(b *testing.B, p path, streams, concurrency int) measurement {
	m := measurement{first: hdrhistogram.New(1, 60_000_000, 3), complete: hdrhistogram.New(1, 60_000_000, 3)}
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: concurrency}}
	defer c.CloseIdleConnections()
	var w sync.WaitGroup
	var mutex sync.Mutex
	start := cpuTime()
	for range concurrency {
		w.Go(func() {
			for range streams / concurrency {
				first, complete := stream(b, c, p)
				mutex.Lock()
				_ = m.first.RecordValue(first.Microseconds())
				_ = m.complete.RecordValue(complete.Microseconds())
				m.tokens += benchStreamTokens
				mutex.Unlock()
			}
		})
	}
	w.Wait()
	m.cpu = cpuTime() - start
	return m
}

// BenchmarkStreams compares streams through a daemon with direct streams from the
// engine, in the same run. Caller, daemon and engine are all in this process, so
// the difference in CPU time is the cost of the daemon.
func BenchmarkStreams(b *testing.B) {
	for _, x := range []struct {
		concurrency int
		// rate is the speed of each stream, in tokens per second.
		rate  float64
		paced bool
	}{
		{concurrency: 64, rate: 500, paced: true},
		{concurrency: 1000, rate: 60, paced: false},
		{concurrency: 1000, rate: 60, paced: true},
	} {
		b.Run(fmt.Sprintf("%dx%v/paced=%v", x.concurrency, x.rate, x.paced), func(b *testing.B) {
			p := paths(b, x.rate, x.paced)
			n := b.N * x.concurrency
			compare(b, measure(b, p[0], n, x.concurrency), measure(b, p[1], n, x.concurrency))
		})
	}
}

func compare(b *testing.B, direct, daemon measurement) {
	perToken := func(m measurement) float64 { return float64(m.cpu.Nanoseconds()) / 1000 / float64(m.tokens) }
	b.ReportMetric(perToken(direct), "direct-µs/token")
	b.ReportMetric(perToken(daemon)-perToken(direct), "daemon-µs/token")
	b.ReportMetric(perToken(daemon)/perToken(direct), "cpu-ratio")
	for _, q := range []float64{50, 99} {
		added := daemon.first.ValueAtQuantile(q) - direct.first.ValueAtQuantile(q)
		b.ReportMetric(float64(added), fmt.Sprintf("first-p%v-added-µs", q))
		ratio := float64(daemon.complete.ValueAtQuantile(q)) / float64(direct.complete.ValueAtQuantile(q))
		b.ReportMetric(ratio, fmt.Sprintf("whole-p%v-ratio", q))
	}
}

// BenchmarkStream measures one stream at full speed, direct and through a daemon.
func BenchmarkStream(b *testing.B) {
	for _, p := range paths(b, 0, true) {
		b.Run(p.name, func(b *testing.B) {
			c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			defer c.CloseIdleConnections()
			b.ReportAllocs()
			for b.Loop() {
				stream(b, c, p)
			}
		})
	}
}

// BenchmarkKeyedCheck measures the check of the key for each chunk of a stream.
func BenchmarkKeyedCheck(b *testing.B) {
	s := &view.Memory{}
	s.Change(func(s *view.State) {
		s.Config = config.NewSnapshot(document())
		s.ConfirmedUntil = time.Now().Add(time.Hour)
	})
	_, a, err := proxy.NewActiveRequests(s).Begin(context.Background(), key)
	must.NoError(b, err)
	defer a.End()
	b.ReportAllocs()
	for b.Loop() {
		must.NoError(b, a.Check(time.Now()))
	}
}
