package fleet

import (
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// TestOlderConfigurationIsIgnored applies versions out of order, and a row that
// cannot be decoded.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := New(nil, Codec{
		ConfigName: "config",
		Config: func(b []byte) (*route.Config, error) {
			v, err := strconv.ParseInt(string(b), 10, 64)
			return &route.Config{Version: v}, err
		},
		Version: func(name string, b []byte) (string, int, bool) {
			v, err := strconv.Atoi(string(b))
			return name, v, err == nil
		},
	}, zap.NewNop())
	row := func(name, value string, version int64) store.Row {
		return store.Row{Key: store.Key{Name: name}, Value: []byte(value), Version: version}
	}
	must.Nil(t, f.Config())
	f.applyOperatorRows([]store.Row{row("config", "3", 1), row("m", "2", 2)})
	must.Eq(t, 3, f.Config().Version)
	f.applyOperatorRows([]store.Row{row("config", "nonsense", 3), row("m", "1", 4)})
	must.Eq(t, 3, f.Config().Version)
	must.Eq(t, 2, f.Version("m"))
	f.applyOperatorRows([]store.Row{row("config", "2", 5)})
	must.Eq(t, 3, f.Config().Version)
	f.applyOperatorRows([]store.Row{row("config", "9", 6)})
	must.Eq(t, 9, f.Config().Version)
}

func TestStoreStaysReachableAfterOneFailure(t *testing.T) {
	f := New(nil, Codec{}, zap.NewNop())
	must.False(t, f.Reachable())
	f.recordResponse(store.Snapshot{}, Uptime())
	must.True(t, f.Reachable())
	f.recordFailure("x", errors.New("no"))
	must.True(t, f.Reachable())
}
