package settings_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/settings"
)

const good = `Machine: vm-1
Domain: a
Listen:
  Callers: 127.0.0.1:1
  Ready: 127.0.0.1:2
  Peers: 127.0.0.1:3
Seeds: ["127.0.0.1:9"]
Store: 127.0.0.1:4
Bounds:
  Grace: 8s
  LeaseTerm: 3000ms
`

func TestDecode(t *testing.T) {
	s, err := settings.Decode([]byte(good))
	must.NoError(t, err)
	must.Eq(t, "vm-1", s.Machine)
	must.Len(t, 1, s.Seeds)
}

func TestDecodeRefusesWhatItDoesNotKnow(t *testing.T) {
	for _, bad := range []string{good + "Color: red\n", "Machine: [", "", "Machine: vm\n"} {
		_, err := settings.Decode([]byte(bad))
		must.ErrorIs(t, err, settings.ErrSettings)
	}
}

// TestWatch changes the file with and without a signal, and once to one that
// cannot be used.
func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(file, []byte(good), 0o600))
	s, err := settings.Load(file)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	signals := make(chan os.Signal)
	adopted := make(chan settings.Settings, 1)
	go settings.Watch(ctx, file, s, signals, func(n settings.Settings) { adopted <- n }, zap.NewNop())
	signals <- syscall.SIGHUP
	must.Len(t, 1, (<-adopted).Seeds)
	must.NoError(t, os.WriteFile(file, []byte("nonsense"), 0o600))
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	must.SliceEmpty(t, held(adopted))
	must.NoError(t, os.WriteFile(file, []byte(good+"LogLevel: debug\n"), 0o600))
	must.Eq(t, "debug", (<-adopted).LogLevel)
}

// held returns what a channel holds at the moment.
func held(c chan settings.Settings) []settings.Settings {
	select {
	case s := <-c:
		return []settings.Settings{s}
	default:
		return nil
	}
}
