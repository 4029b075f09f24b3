package settings

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// watchInterval is the time between two checks of the file, which may change
// without a signal.
const watchInterval = time.Second

// Watch reloads a settings file whenever it has changed or a signal arrives,
// and passes the new settings to adopt, until the context ends. A file that
// cannot be used changes nothing.
func Watch(ctx context.Context, file string, s Settings, signals <-chan os.Signal, adopt func(Settings), log *zap.Logger) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	lastError := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-signals:
			signalled = true
		}
		next, err := Load(file)
		switch {
		case err != nil:
			if signalled || err.Error() != lastError {
				log.Error("settings not reloaded, previous ones stay in effect", zap.Error(err))
			}
			lastError = err.Error()
		case signalled || !reflect.DeepEqual(next, s):
			log.Info("settings reloaded", zap.Bool("Signal", signalled), zap.Bool("Changed", !reflect.DeepEqual(next, s)))
			s, lastError = next, ""
			adopt(next)
		}
	}
}
