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

// httpService serves HTTP on one listener. Serve may be called only once.
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

// peerService answers calls of other daemons.
type peerService struct {
	listener net.Listener
	server   *wire.Server
}

// listen opens all listeners or none, so that a bad address is reported before
// any component runs.
func listen(s settings.Settings, c *components) (*listeners, error) {
	var open []net.Listener
	var failed error
	on := func(a netip.AddrPort) net.Listener {
		if failed != nil {
			return nil
		}
		var config net.ListenConfig
		l, err := config.Listen(context.Background(), "tcp", a.String())
		if err != nil {
			failed = errors.Wrap(err, "daemon: listen")
			return nil
		}
		open = append(open, l)
		return l
	}
	server := wire.NewServer(c.mux, wire.VerifyTLS, c.counters, wire.WithClock(c.timeline))
	l := &listeners{
		callers:   newHTTPService(on(s.Listen.Callers), callersHandler(c)),
		operators: newHTTPService(on(s.Listen.Operators), operatorsHandler(c)),
		metrics:   newHTTPService(on(s.Listen.Metrics), telemetry.NewHandler(c.metrics, c.readiness)),
		peers:     &peerService{listener: on(s.Listen.Peers), server: server},
	}
	if failed != nil {
		for _, o := range open {
			_ = o.Close()
		}
		return nil, failed
	}
	l.peers.listener = wire.ListenTLS(l.peers.listener, c.identity)
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

// Serve serves until the server is shut down. Canceling the context does not
// interrupt requests; only shutting down or closing the server does.
func (h *httpService) Serve(ctx context.Context) error {
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Serve answers calls until the context ends.
func (s *peerService) Serve(ctx context.Context) error {
	return s.server.Serve(ctx, s.listener)
}

func callersHandler(c *components) http.Handler {
	m := http.NewServeMux()
	m.Handle(proxy.NewHTTPHandler(proxy.NewGenerationHandler(c.options, c.generator, c.requests)))
	m.Handle(callerv1.NewRolloutServiceHandler(rollout.NewService(c.rollout)))
	m.Handle("/", proxy.NewPassThrough(c.options, c.requests))
	return c.metrics.Middleware(closeWhileDraining(c.readiness, m))
}

// closeWhileDraining adds the header Connection: close to responses while the
// daemon drains, so that clients do not reuse their connections.
func closeWhileDraining(r *telemetry.Readiness, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}

func operatorsHandler(c *components) http.Handler {
	m := http.NewServeMux()
	m.Handle(operator.New(operator.Dependencies{
		Confirmer: confirmer{components: c},
		Events:    eventSource{components: c},
		Recorder:  c.recorder,
		Status:    statusSource{components: c},
		Store:     c.store(),
	}, c.settings.OperatorKeyHash))
	return m
}
