package command

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/base/transport"
)

const (
	authorization = "Authorization"
	bearerPrefix  = "Bearer "
	// dialTimeout bounds the wait for a connection to one daemon.
	dialTimeout = 3 * time.Second
	// operatorTimeout bounds one call of an operator's command.
	operatorTimeout = 30 * time.Second
)

// Addresses used when --server is not given.
var (
	defaultCallers   = netip.MustParseAddrPort("127.0.0.1:8080")
	defaultOperators = netip.MustParseAddrPort("127.0.0.1:8081")
)

// connector opens connections to the first of several daemons that accepts
// one. A connection that could not be opened has carried no request, so trying
// the next daemon repeats nothing.
type connector struct {
	servers []netip.AddrPort
	// first is the index of the daemon to try first.
	first int
}

// dial connects to the first daemon that accepts a connection, starting with
// c.first, and ignores the address. It is a transport.Dial.
func (c *connector) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	var err error
	for i := range c.servers {
		var conn net.Conn
		conn, err = d.DialContext(ctx, network, c.servers[(c.first+i)%len(c.servers)].String())
		if err == nil {
			return conn, nil
		}
	}
	return nil, err
}

// next selects the following daemon as the first to try.
func (c *connector) next() {
	c.first++
}

// client returns an HTTP client that sends each request on a connection of its
// own: a command makes few.
func (c *connector) client() *transport.Transport {
	return transport.New(c.dial, transport.WithoutReuse())
}

func (c *connector) url() string {
	return "http://" + c.servers[0].String()
}

func (s *session) connector(fallback netip.AddrPort) *connector {
	if len(s.servers) == 0 {
		return &connector{servers: []netip.AddrPort{fallback}}
	}
	return &connector{servers: s.servers}
}

func (s *session) generation(c *connector) callerv1.GenerationServiceClient {
	return callerv1.NewGenerationServiceClient(c.client(), c.url())
}

func (s *session) operatorService() operatorv1.OperatorServiceClient {
	c := s.connector(defaultOperators)
	return operatorv1.NewOperatorServiceClient(c.client(), c.url())
}

func (s *session) rolloutService() callerv1.RolloutServiceClient {
	c := s.connector(defaultCallers)
	return callerv1.NewRolloutServiceClient(c.client(), c.url())
}

// callerRequest returns a request with the key in the caller's key file, if one was
// given.
func callerRequest[T any](s *session, m *T) (*connect.Request[T], error) {
	r := connect.NewRequest(m)
	if s.keyFile == "" {
		return r, nil
	}
	k, err := readKey(s.keyFile)
	if err != nil {
		return nil, err
	}
	r.Header().Set(authorization, bearerPrefix+k)
	return r, nil
}

// operatorCall calls the operators' service with the operators' key.
func operatorCall[Q, A any](s *session, call func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), m *Q) (*A, error) {
	if s.operatorKeyFile == "" {
		return nil, errors.Wrap(ErrUsage, "--operator-key-file is needed")
	}
	k, err := readKey(s.operatorKeyFile)
	if err != nil {
		return nil, err
	}
	r := connect.NewRequest(m)
	r.Header().Set(authorization, bearerPrefix+k)
	ctx, cancel := context.WithTimeout(s.ctx, operatorTimeout)
	defer cancel()
	a, err := call(ctx, r)
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}

func readKey(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(ErrUsage, err.Error())
	}
	k := strings.TrimSpace(string(b))
	if k == "" {
		return "", errors.Wrapf(ErrUsage, "%s is empty", path)
	}
	return k, nil
}
