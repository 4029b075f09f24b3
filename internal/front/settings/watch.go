package settings

import (
	"context"
	"os"
	"reflect"
	"time"

	"go.uber.org/zap"
)

// watchInterval is the time between two looks at the file, which may change
// without a signal.
const watchInterval = time.Second

// Watch reads a settings file again whenever it has changed or a signal comes,
// and hands what it says to adopt, until the context ends. A file that cannot
// be used changes nothing.
func Watch(ctx context.Context, file string, s Settings, signals <-chan os.Signal, adopt func(Settings), log *zap.Logger) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	refused := ""
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
			if signalled || err.Error() != refused {
				log.Error("settings not reloaded, the last ones stay", zap.Error(err))
			}
			refused = err.Error()
		case signalled || !reflect.DeepEqual(next, s):
			log.Info("settings reloaded", zap.Bool("Signal", signalled), zap.Bool("Changed", !reflect.DeepEqual(next, s)))
			s, refused = next, ""
			adopt(next)
		}
	}
}
