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

// streamTokens is the length of a measured stream.
const streamTokens = 215

// path is one way from a caller to the engine.
type path struct {
	name string
	url  string
	kind string
	body []byte
}

// measured is what a number of streams over a path took.
type measured struct {
	first, whole *hdrhistogram.Histogram
	cpu          time.Duration
	tokens       int
}

func listen(b *testing.B) net.Listener {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(b, err)
	return l
}

// paths starts an engine and a daemon on TCP and returns the ways to them.
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
	o := proxy.Options{Gate: &gate.First{Source: s}, Source: s}
	if !paced {
		c := exchange.New()
		o.Engines = func(s fleet.Server) engine.Engine { return engine.NewHTTP(s.Address, c) }
	}
	m := http.NewServeMux()
	m.Handle(proxy.NewHTTPHandler(proxy.NewGenerationHandler(o, proxy.NewGenerator(o), proxy.NewRunning(s))))
	h := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = h.Serve(daemonListener) }()
	b.Cleanup(func() { _ = h.Close() })
	direct, err := json.Marshal(engine.Request{Attempt: "a", Prompt: "ovens", MaxTokens: streamTokens})
	must.NoError(b, err)
	message := fmt.Appendf(nil, `{"pool":"assistant","prompt":"ovens","maxTokens":%d}`, streamTokens)
	framed := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	return []path{
		{"Direct", "http://" + engineListener.Addr().String() + engine.PathGenerate, "application/json", direct},
		{
			"Daemon", "http://" + daemonListener.Addr().String() + "/lacewingtally.caller.v1.GenerationService/Generate",
			"application/connect+json", append(framed, message...),
		},
	}
}

// stream reads one stream to its end and returns when its first byte and its
// last one came.
func stream(b *testing.B, c *http.Client, p path) (first, whole time.Duration) {
	begun := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, p.url, bytes.NewReader(p.body))
	must.NoError(b, err)
	r.Header.Set("Content-Type", p.kind)
	r.Header.Set("Authorization", "Bearer "+key)
	a, err := c.Do(r)
	must.NoError(b, err)
	defer a.Body.Close()
	var one [1]byte
	_, err = io.ReadFull(a.Body, one[:])
	must.NoError(b, err)
	first = time.Since(begun)
	n, err := io.Copy(io.Discard, a.Body)
	must.NoError(b, err)
	must.Greater(b, int64(streamTokens), n)
	return first, time.Since(begun)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure runs streams, atOnce at a time.
func measure(b *testing.B, p path, streams, atOnce int) measured {
	m := measured{first: hdrhistogram.New(1, 60_000_000, 3), whole: hdrhistogram.New(1, 60_000_000, 3)}
	c := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: atOnce}}
	defer c.CloseIdleConnections()
	var w sync.WaitGroup
	var mutex sync.Mutex
	begun := cpuTime()
	for range atOnce {
		w.Go(func() {
			for range streams / atOnce {
				first, whole := stream(b, c, p)
				mutex.Lock()
				_ = m.first.RecordValue(first.Microseconds())
				_ = m.whole.RecordValue(whole.Microseconds())
				m.tokens += streamTokens
				mutex.Unlock()
			}
		})
	}
	w.Wait()
	m.cpu = cpuTime() - begun
	return m
}

// BenchmarkStreams compares streams through a daemon with streams from the
// engine itself, in the same run. All ends are in this process, so the
// difference in processor time is the daemon's.
func BenchmarkStreams(b *testing.B) {
	for _, x := range []struct {
		atOnce int
		// rate is the speed of each stream, in tokens a second.
		rate  float64
		paced bool
	}{
		{atOnce: 64, rate: 500, paced: true},
		{atOnce: 1000, rate: 60, paced: false},
		{atOnce: 1000, rate: 60, paced: true},
	} {
		b.Run(fmt.Sprintf("%dx%v/paced=%v", x.atOnce, x.rate, x.paced), func(b *testing.B) {
			ways := paths(b, x.rate, x.paced)
			n := b.N * x.atOnce
			compare(b, measure(b, ways[0], n, x.atOnce), measure(b, ways[1], n, x.atOnce))
		})
	}
}

func compare(b *testing.B, direct, daemon measured) {
	perToken := func(m measured) float64 { return float64(m.cpu.Nanoseconds()) / 1000 / float64(m.tokens) }
	b.ReportMetric(perToken(direct), "direct-µs/token")
	b.ReportMetric(perToken(daemon)-perToken(direct), "daemon-µs/token")
	b.ReportMetric(perToken(daemon)/perToken(direct), "cpu-ratio")
	for _, q := range []float64{50, 99} {
		added := daemon.first.ValueAtQuantile(q) - direct.first.ValueAtQuantile(q)
		b.ReportMetric(float64(added), fmt.Sprintf("first-p%v-added-µs", q))
		ratio := float64(daemon.whole.ValueAtQuantile(q)) / float64(direct.whole.ValueAtQuantile(q))
		b.ReportMetric(ratio, fmt.Sprintf("whole-p%v-ratio", q))
	}
}

// BenchmarkStream is one stream as fast as it goes.
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

// BenchmarkKeyedCheck is the check made for each chunk of a stream.
func BenchmarkKeyedCheck(b *testing.B) {
	s := &view.Memory{}
	s.Change(func(s *view.State) {
		s.Config = config.NewSnapshot(document())
		s.ConfirmedUntil = time.Now().Add(time.Hour)
	})
	_, t, err := proxy.NewRunning(s).Begin(context.Background(), key)
	must.NoError(b, err)
	defer t.End()
	b.ReportAllocs()
	for b.Loop() {
		must.NoError(b, t.Check(time.Now()))
	}
}
