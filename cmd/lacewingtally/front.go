package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/batch"
	"github.com/lacewingtally/lacewingtally/internal/front/daemon"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/forward"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/settings"
	"github.com/lacewingtally/lacewingtally/platform/caller"
	"github.com/lacewingtally/lacewingtally/platform/cloud"
	"github.com/lacewingtally/lacewingtally/platform/operator"
	"github.com/lacewingtally/lacewingtally/platform/server"
	"github.com/lacewingtally/lacewingtally/platform/store"
)

// logFlushTimeout bounds the time to write the queued log lines at exit.
const logFlushTimeout = 500 * time.Millisecond

// runFront runs a daemon with the adapters of the users' platform until ctx ends.
func runFront(ctx context.Context, file string, s settings.Settings) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	out := telemetry.NewQueue(os.Stdout)
	defer out.Close(logFlushTimeout)
	var dropped telemetry.DroppedLines
	log, err := telemetry.NewSampledLogger(out, s.LogLevel, &dropped)
	if err != nil {
		return err
	}
	counts := metrics.New()
	platform := cloud.New(s.Cloud)
	return daemon.Run(ctx, s, daemon.Dependencies{
		Codec: fleet.Codec{
			OperatorTable: operator.Table,
			ConfigName:    operator.ConfigRow,
			ServerTable:   server.Table,
			Config:        operator.DecodeConfig,
			Version:       operator.DecodeVersion,
			Evacuation:    operator.Evacuation,
			Server:        server.Decode,
		},
		Store:      store.New(s.Store),
		DialServer: server.DialFrom(s.ServersFrom),
		Servers: func(o backend.Observer, d backend.Dialer) backend.Client {
			return server.NewClient(o, d)
		},
		Reporter: platform,
		Scaler:   platform,
		Callers: func(f *forward.Forwarder, j *batch.Service, leaving func() bool) http.Handler {
			return &caller.Handler{Forwarder: f, Jobs: j, Log: log, ShuttingDown: leaving, Metrics: counts}
		},
		Ready:        caller.ReadyHandler,
		Metrics:      counts,
		LinesLeftOut: func() int64 { return out.Dropped() + dropped.Count() },
		Settings: func(ctx context.Context, adopt func(settings.Settings)) {
			settings.Watch(ctx, file, s, hangup, adopt, log)
		},
	}, log)
}
