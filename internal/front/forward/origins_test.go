package forward

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestOriginsAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o origins
		k := streamKeyOf("w", "r")
		_, ok := o.software(k)
		must.False(t, ok)
		must.MapEmpty(t, o.report(func(string) bool { return true }))
		o.record(k, "s", "v1")
		v, ok := o.software(k)
		must.True(t, ok)
		must.Eq(t, "v1", v)
		_, ok = o.software(streamKeyOf("other", "r"))
		must.False(t, ok)
		must.MapEmpty(t, o.report(func(string) bool { return false }))
		must.Eq(t, map[string][]uint64{"v1": {uint64(k)}}, o.report(func(service string) bool { return service == "s" }))
		time.Sleep(originRetention)
		_, ok = o.software(k)
		must.False(t, ok)
	})
}

// TestReportedOriginsAreBounded records more streams than fit a heartbeat: it contains
// the newest.
func TestReportedOriginsAreBounded(t *testing.T) {
	var o origins
	for n := range maxOrigins + 10 {
		o.record(streamKeyOf("w", strconv.Itoa(n)), "s", "v1")
	}
	reported := o.report(func(string) bool { return true })["v1"]
	must.Len(t, maxReportedOrigins, reported)
	must.Eq(t, uint64(streamKeyOf("w", strconv.Itoa(maxOrigins+9))), reported[len(reported)-1])
}
