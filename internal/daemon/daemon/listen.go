package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/caller/operator"
	"github.com/lacewingtally/lacewingtally/internal/caller/proxy"
	"github.com/lacewingtally/lacewingtally/internal/caller/rollout"
	"github.com/lacewingtally/lacewingtally/internal/daemon/settings"
	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// headerTimeout bounds how long a caller may take to send its header.
const headerTimeout = 10 * time.Second

// httpService serves HTTP on one listener. It is served once.
type httpService struct {
	listener net.Listener
	server   *http.Server
}

// listeners are the open listeners of a daemon.
type listeners struct {
	callers   *httpService
	operators *httpService
	metrics   *httpService
	peers     *peerService
}

// peerService answers other daemons.
type peerService struct {
	listener net.Listener
	server   *wire.Server
}

// listen opens all listeners or none, so that a bad address is reported before
// anything runs.
func listen(s settings.Settings, p *parts) (*listeners, error) {
	var open []net.Listener
	var failed error
	on := func(a netip.AddrPort) net.Listener {
		if failed != nil {
			return nil
		}
		var c net.ListenConfig
		l, err := c.Listen(context.Background(), "tcp", a.String())
		if err != nil {
			failed = errors.Wrap(err, "daemon: listen")
			return nil
		}
		open = append(open, l)
		return l
	}
	server := wire.NewServer(p.mux, wire.VerifyTLS, p.counters, wire.WithClock(p.timeline))
	l := &listeners{
		callers:   newHTTPService(on(s.Listen.Callers), callersHandler(p)),
		operators: newHTTPService(on(s.Listen.Operators), operatorsHandler(p)),
		metrics:   newHTTPService(on(s.Listen.Metrics), telemetry.NewHandler(p.metrics, p.readiness)),
		peers:     &peerService{listener: on(s.Listen.Peers), server: server},
	}
	if failed != nil {
		for _, o := range open {
			_ = o.Close()
		}
		return nil, failed
	}
	l.peers.listener = wire.ListenTLS(l.peers.listener, p.identity)
	return l, nil
}

func newHTTPService(l net.Listener, h http.Handler) *httpService {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &httpService{
		listener: l,
		server:   &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: headerTimeout},
	}
}

// Serve serves until the server is shut down. Ending the context does not cut
// requests; shutdown and close do.
func (h *httpService) Serve(ctx context.Context) error {
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Serve answers until the context ends.
func (s *peerService) Serve(ctx context.Context) error {
	return s.server.Serve(ctx, s.listener)
}

func callersHandler(p *parts) http.Handler {
	m := http.NewServeMux()
	m.Handle(proxy.NewHTTPHandler(proxy.NewGenerationHandler(p.options, p.generator, p.running)))
	m.Handle(callerv1.NewRolloutServiceHandler(rollout.NewService(p.rollout)))
	m.Handle("/", proxy.NewPassThrough(p.options, p.running))
	return p.metrics.Middleware(closing(p.readiness, m))
}

// closing asks clients to give up their connections while the daemon drains.
func closing(r *telemetry.Readiness, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}

func operatorsHandler(p *parts) http.Handler {
	m := http.NewServeMux()
	m.Handle(operator.New(operator.Dependencies{
		Confirmer: confirmer{parts: p},
		Events:    eventSource{parts: p},
		Recorder:  p.recorder,
		Status:    statusSource{parts: p},
		Store:     p.store(),
	}, p.settings.OperatorKeyHash))
	return m
}
