package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
	"github.com/lacewingtally/lacewingtally/internal/front/batch"
	"github.com/lacewingtally/lacewingtally/internal/front/daemon"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/forward"
	"github.com/lacewingtally/lacewingtally/internal/front/settings"
	"github.com/lacewingtally/lacewingtally/platform/caller"
	"github.com/lacewingtally/lacewingtally/platform/cloud"
	"github.com/lacewingtally/lacewingtally/platform/operator"
	"github.com/lacewingtally/lacewingtally/platform/server"
	"github.com/lacewingtally/lacewingtally/platform/store"
)

const (
	// retryAfter is told to callers whose request has not run: about as long
	// as another daemon or server takes to have room.
	retryAfter = 50 * time.Millisecond
	// logFlush is how long log lines may be gathered.
	logFlush = 250 * time.Millisecond
	// logBuffer is the size of the buffer of log lines, in bytes.
	logBuffer = 32 << 10
)

// runFront runs a daemon with the platform's adapters.
func runFront(ctx context.Context, file string, s settings.Settings) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	out := &zapcore.BufferedWriteSyncer{WS: zapcore.AddSync(os.Stdout), Size: logBuffer, FlushInterval: logFlush}
	defer out.Stop()
	log, err := telemetry.NewLogger(out, s.LogLevel)
	if err != nil {
		return err
	}
	platform := cloud.New(s.Cloud)
	return daemon.Run(ctx, s, daemon.Parts{
		Codec: fleet.Codec{
			OperatorTable: operator.Table,
			ConfigName:    operator.ConfigRow,
			ServerTable:   server.Table,
			Config:        operator.DecodeConfig,
			Version:       operator.DecodeVersion,
			Server:        server.Decode,
		},
		Store:    store.New(s.Store),
		Servers:  server.NewClient(),
		Reporter: platform,
		Scaler:   platform,
		Callers: func(f *forward.Forwarder, j *batch.Service, leaving func() bool) http.Handler {
			return &caller.Handler{Forwarder: f, Jobs: j, Log: log, Leaving: leaving, RetryAfter: retryAfter}
		},
		Ready: caller.Ready,
		Settings: func(ctx context.Context, adopt func(settings.Settings)) {
			settings.Watch(ctx, file, s, hangup, adopt, log)
		},
	}, log)
}
