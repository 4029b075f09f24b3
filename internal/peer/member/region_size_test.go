package member_test

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// maxRegion is the number of daemons in a region that the design must
	// support.
	maxRegion = 180
	// measureTime is the length of a measurement.
	measureTime = 5 * time.Second
	// registerTimeout bounds the time until all daemons are registered.
	registerTimeout = 60 * time.Second
)

// traffic counts calls and the bytes of their encoded requests and answers.
type traffic struct {
	bytes atomic.Int64
	calls atomic.Int64
}

// countingCaller is a Caller that adds its calls to traffic.
type countingCaller struct {
	wire.Caller
	traffic *traffic
}

func (c countingCaller) Call(ctx context.Context, to netip.AddrPort, k wire.Kind, q, a any) error {
	err := c.Caller.Call(ctx, to, k, q, a)
	for _, x := range []any{q, a} {
		if b, encodeErr := msgpack.Marshal(x); encodeErr == nil {
			c.traffic.bytes.Add(int64(len(b)))
		}
	}
	c.traffic.calls.Add(1)
	return err
}

// BenchmarkRegionSize measures the cost per daemon and second of confirming the
// view by pings alone, in a region of n daemons whose table is down: bytes of
// encoded bodies sent and received, and processor time, including that of the
// counting. A lapse is a check that finds a daemon not confirmed; there must be
// none up to maxRegion daemons.
func BenchmarkRegionSize(b *testing.B) {
	runtime.GOMAXPROCS(runtime.NumCPU())
	defer runtime.GOMAXPROCS(1)
	for _, n := range []int{9, 36, 90, 180, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				benchmarkRegion(b, n)
			}
		})
	}
}

func benchmarkRegion(b *testing.B, n int) {
	c := newCluster(b)
	defer c.close()
	c.traffic = &traffic{}
	doc := c.apply(0, configWithKeys("withdrawn", "k"))
	for i := range n {
		c.start(i+1, "r")
	}
	start := time.Now()
	c.awaitRegistered(b, n)
	registeredIn := time.Since(start)
	start = time.Now()
	doc.Keys[0].WithdrawnAt = start
	doc = c.apply(1, doc)
	a, err := c.at(0).Confirm(context.Background(), doc.Revision)
	must.NoError(b, err)
	must.True(b, a.Accepted())
	acceptedIn := time.Since(start)
	for _, d := range c.all() {
		d.table.SetCut(true)
	}
	time.Sleep(3 * time.Second)
	before, used := c.traffic.bytes.Load(), processorTime()
	lapses := 0
	for end := time.Now().Add(measureTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, d := range c.all() {
			if !serves(d, "k") {
				lapses++
			}
		}
	}
	// Each body is sent by one daemon and received by another.
	bytes := 2 * float64(c.traffic.bytes.Load()-before) / measureTime.Seconds() / float64(n)
	processor := (processorTime() - used).Seconds() / measureTime.Seconds() / float64(n)
	b.ReportMetric(bytes, "B/s/daemon")
	b.ReportMetric(100*processor, "%core/daemon")
	b.ReportMetric(float64(lapses), "lapses")
	b.ReportMetric(acceptedIn.Seconds(), "s-to-accept")
	b.ReportMetric(registeredIn.Seconds(), "s-to-register")
	if n <= maxRegion {
		must.Zero(b, lapses)
	}
}

func (c *cluster) awaitRegistered(b *testing.B, n int) {
	for end := time.Now().Add(registerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		registered := 0
		for _, d := range c.all() {
			if s, err := d.Status(context.Background()); err == nil && s.Registered && len(s.Peers) == n {
				registered++
			}
		}
		if registered == n {
			return
		}
	}
	b.Fatal("not all daemons are registered")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
