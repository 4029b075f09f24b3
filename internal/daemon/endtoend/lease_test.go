package endtoend

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/order"
)

// holder returns the index of the daemon that holds the lease of a duty
// according to daemon i, and its epoch. The index is -1 if there is none.
func (c *cluster) holder(i int, duty string) (int, uint64) {
	s := c.status(i)
	if s == nil {
		return -1, 0
	}
	for _, l := range s.GetLeases() {
		if l.GetDuty() != duty {
			continue
		}
		for j, d := range c.daemons {
			if strings.HasPrefix(l.GetHolder(), d.settings.AdvertisePeer.String()) {
				return j, l.GetEpoch()
			}
		}
	}
	return -1, 0
}

func (c *cluster) orders() []order.Order {
	text, err := c.fetch(http.MethodGet, c.platform, "/orders", nil)
	must.NoError(c.t, err)
	var o []order.Order
	must.NoError(c.t, json.Unmarshal([]byte(text), &o))
	return o
}

// TestLeaseHolderFrozen freezes the daemon that orders backend servers from a
// platform that does not check fencing tokens, waits until another daemon takes
// over, and resumes the first. No order of the old epoch may arrive after one of
// the new epoch.
func TestLeaseHolderFrozen(t *testing.T) {
	c := newCluster(t, withoutFencing())
	var old int
	var epoch uint64
	eventually(t, "a daemon orders servers", func() bool {
		old, epoch = c.holder(0, "Orders")
		return old >= 0 && len(c.orders()) > 0
	})
	c.daemons[old].freeze()
	frozenAt := time.Now()
	other := (old + 1) % len(c.daemons)
	defer func() {
		if t.Failed() {
			t.Logf("daemon %d frozen at %s; daemon %d reports %v", old, frozenAt.UTC().Format(time.RFC3339Nano), other, c.status(other).GetLeases())
			for _, d := range c.daemons {
				d.dump(t)
			}
		}
	}()
	var successor int
	eventually(t, "another daemon takes over", func() bool {
		h, e := c.holder(other, "Orders")
		successor = h
		return h >= 0 && h != old && e > epoch
	})
	// The change makes the holder order servers. The resumed daemon would do so
	// as well if it still acted as the holder.
	before := len(c.orders())
	next := c.config()
	next.Pools[0].LiveFloor = 3
	next.Pools[0].MaxServers = 6
	eventually(t, "the change is accepted", func() bool {
		_, err := c.tryApply(other, next, "more servers")
		return err == nil
	})
	eventually(t, "the successor orders", func() bool { return len(c.orders()) > before })
	c.daemons[old].resume()
	eventually(t, "the resumed daemon reports the successor", func() bool {
		h, e := c.holder(old, "Orders")
		return h == successor && e > epoch
	})
	newest := uint64(0)
	for _, o := range c.orders() {
		must.GreaterEq(t, newest, uint64(o.Epoch), must.Sprintf("order %s of epoch %d came after epoch %d", o.ID, o.Epoch, newest))
		newest = max(newest, uint64(o.Epoch))
	}
	must.Greater(t, epoch, newest)
}
