package load_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/standin/engine"
	"github.com/lacewingtally/lacewingtally/internal/standin/load"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func TestRunCountsCompletedAndRefusedAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- engine.New(engine.WithTokensPerSecond(10000)).Serve(ctx, l) }()
	o := load.Options{
		Servers:   []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())},
		Direct:    true,
		MaxTokens: 5,
		Rate:      1000,
		Count:     4,
	}
	r, err := load.Run(ctx, o)
	must.NoError(t, err)
	must.Eq(t, 4, r.Completed)
	must.Eq(t, 20, r.Tokens)
	cancel()
	must.NoError(t, <-done)
	r, err = load.Run(context.Background(), o)
	must.NoError(t, err)
	must.Eq(t, 4, r.Refused)
}

func TestRunRejectsInvalidOptions(t *testing.T) {
	_, err := load.Run(context.Background(), load.Options{})
	must.ErrorIs(t, err, load.ErrOptions)
}
