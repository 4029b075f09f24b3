package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

// requests are kinds of requests that net/http treats as safe to retry, and one
// (the last) that it does not.
var requests = []struct{ method, header string }{
	{method: http.MethodGet},
	{method: http.MethodHead},
	{method: http.MethodOptions},
	{method: http.MethodPost, header: "Idempotency-Key"},
	{method: http.MethodPost, header: "X-Idempotency-Key"},
	{method: http.MethodPost},
}

// oneShot is a TCP server that responds to the first request of a connection and
// closes the connection at the second one.
type oneShot struct {
	listener net.Listener
	requests atomic.Int64
	wait     sync.WaitGroup
}

func newOneShot(t *testing.T, respond bool) *oneShot {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &oneShot{listener: l}
	s.wait.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wait.Go(func() { s.serve(c, respond) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.wait.Wait()
	})
	return s
}

func (s *oneShot) address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *oneShot) serve(c net.Conn, respond bool) {
	defer c.Close()
	b := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		if !respond || n > 0 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func do(c interface {
	Do(r *http.Request) (*http.Response, error)
}, to netip.AddrPort, method, header string) error {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+to.String(), strings.NewReader("body"))
	if err != nil {
		return err
	}
	if header != "" {
		r.Header.Set(header, "1")
	}
	a, err := c.Do(r)
	if err != nil {
		return err
	}
	return a.Body.Close()
}

func TestRequestsAreNotRepeated(t *testing.T) {
	for _, q := range requests {
		t.Run(q.method+q.header, func(t *testing.T) {
			s := newOneShot(t, false)
			c := exchange.New()
			must.ErrorIs(t, do(c, s.address(), q.method, q.header), exchange.ErrTruncated)
			must.EqOp(t, 1, s.requests.Load())
		})
	}
}

func TestConnectionsAreNotReused(t *testing.T) {
	for _, q := range requests {
		t.Run(q.method+q.header, func(t *testing.T) {
			s := newOneShot(t, true)
			c := exchange.New()
			for range 3 {
				must.NoError(t, do(c, s.address(), q.method, q.header))
			}
			must.EqOp(t, 3, s.requests.Load())
		})
	}
}

// TestDefaultTransportRepeatsRequests shows why Client does not reuse
// connections: the default transport resends a request that may have run.
func TestDefaultTransportRepeatsRequests(t *testing.T) {
	s := newOneShot(t, true)
	var transport http.Transport
	defer transport.CloseIdleConnections()
	c := &http.Client{Transport: &transport}
	for range 2 {
		must.NoError(t, do(c, s.address(), http.MethodPost, "Idempotency-Key"))
	}
	must.EqOp(t, 3, s.requests.Load())
}

// TestMatrixNotSent breaks, stalls or cancels an exchange at each step and
// checks the returned error against the bytes that the server received.
func TestMatrixNotSent(t *testing.T) {
	kinds := []string{"Break", "Silent", "Cancel"}
	steps := []string{"Dial", "WriteBefore", "WriteDuring", "WriteAfter", "ReadBefore", "ReadDuring"}
	n := 0
	for _, kind := range kinds {
		for _, step := range steps {
			synctest.Test(t, func(t *testing.T) { notSentCell(t, kind, step) })
			n++
		}
	}
	must.EqOp(t, len(kinds)*len(steps), n)
	t.Logf("%d cells", n)
}

func notSentCell(t *testing.T, kind, step string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tap link.Tap
	network := link.Network{Decide: func(e link.Event) link.Action {
		bytes, ok := bytesBefore(step, e)
		if !ok {
			return link.Action{}
		}
		switch kind {
		case "Cancel":
			cancel()
			return link.Action{}
		case "Silent":
			return link.Action{Fault: link.FaultHang, Bytes: bytes}
		}
		return link.Action{Fault: link.FaultBreak, Bytes: bytes}
	}}
	at := netip.MustParseAddrPort("127.0.0.1:80")
	l := network.Listen(at)
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) },
	)}
	go func() { _ = s.Serve(tap.Listener(l)) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String(), strings.NewReader("body"))
	must.NoError(t, err)
	a, err := exchange.New(exchange.WithDial(network.Dial)).Do(r)
	if err == nil {
		_, err = io.ReadAll(a.Body)
		a.Body.Close()
	}
	time.Sleep(time.Minute)
	note := must.Sprintf("%s at %s: %v, received %q", kind, step, err, tap.Bytes())
	if kind != "Cancel" {
		must.Error(t, err, note)
	}
	if errors.Is(err, exchange.ErrNotSent) {
		must.SliceEmpty(t, tap.Bytes(), note)
	}
	if kind != "Cancel" {
		// A cancelled exchange may end before it is certain that nothing is
		// sent.
		must.EqOp(t, step == "Dial", errors.Is(err, exchange.ErrNotSent), note)
	}
	_ = s.Close()
	time.Sleep(time.Minute)
}

// bytesBefore reports whether an event is at a step, and how many bytes pass
// before the fault.
func bytesBefore(step string, e link.Event) (int, bool) {
	n := len(e.Data)
	switch step {
	case "Dial":
		return 0, e.Step == link.StepDial
	case "WriteBefore":
		return 0, e.Step == link.StepWrite
	case "WriteDuring":
		return n / 2, e.Step == link.StepWrite
	case "WriteAfter":
		return n, e.Step == link.StepWrite
	case "ReadBefore":
		return 0, e.Step == link.StepRead
	default:
		return n / 2, e.Step == link.StepRead
	}
}
