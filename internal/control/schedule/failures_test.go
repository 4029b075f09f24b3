package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

// TestOneFailingServerDoesNotEndAnItem replays a server that fails an item six
// times in a row while no other has room.
func TestOneFailingServerDoesNotEndAnItem(t *testing.T) {
	var f schedule.Failures
	waited := time.Duration(0)
	for range 6 {
		must.False(t, f.Final(6))
		f.Add("a")
		waited += f.Wait()
	}
	must.False(t, f.Final(6))
	// The others have had time to get free.
	must.Greater(t, 1500*time.Millisecond, waited)
	for range 6 {
		f.Add("a")
	}
	must.True(t, f.Final(6))
}

func TestAsManyServersAsAllowedEndAnItem(t *testing.T) {
	var f schedule.Failures
	for i := range 3 {
		must.False(t, f.Final(3))
		f.Add(strconv.Itoa(i))
	}
	must.True(t, f.Final(3))
}
