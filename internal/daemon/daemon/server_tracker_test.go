package daemon

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/vmlist"
)

func TestVMIsDeletedOnlyAfterItWasListed(t *testing.T) {
	a := vmlist.Daemon{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	b := vmlist.Daemon{Address: netip.MustParseAddrPort("127.0.0.2:1")}
	m := fleet.Member{ID: fleet.MemberID{Address: a.Address}}
	var tracker serverTracker
	must.False(t, tracker.vmDeleted(m))
	// An outdated list does not contain the VM yet.
	tracker.updateDaemons([]vmlist.Daemon{b})
	must.False(t, tracker.vmDeleted(m))
	tracker.updateDaemons([]vmlist.Daemon{a, b})
	must.False(t, tracker.vmDeleted(m))
	tracker.updateDaemons([]vmlist.Daemon{b})
	must.True(t, tracker.vmDeleted(m))
	tracker.updateDaemons([]vmlist.Daemon{a, b})
	must.False(t, tracker.vmDeleted(m))
}
