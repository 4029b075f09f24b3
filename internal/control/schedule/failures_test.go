package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

// TestFailuresOnOneServerAreNotFinal lets one server fail an item six times
// in a row while no other server has a free slot.
func TestFailuresOnOneServerAreNotFinal(t *testing.T) {
	var f schedule.Failures
	waited := time.Duration(0)
	for range 6 {
		must.False(t, f.Final(6))
		f.Add("a")
		waited += f.Backoff()
	}
	must.False(t, f.Final(6))
	// By then other servers have had time to free a slot.
	must.Greater(t, 1500*time.Millisecond, waited)
	for range 6 {
		f.Add("a")
	}
	must.True(t, f.Final(6))
}

func TestFailuresOnMaxServersAreFinal(t *testing.T) {
	var f schedule.Failures
	for i := range 3 {
		must.False(t, f.Final(3))
		f.Add(strconv.Itoa(i))
	}
	must.True(t, f.Final(3))
}

func TestBackoffIsBounded(t *testing.T) {
	must.Eq(t, 0, schedule.Backoff(0))
	must.Eq(t, 60*time.Millisecond, schedule.Backoff(1))
	must.Eq(t, 120*time.Millisecond, schedule.Backoff(2))
	must.Eq(t, 500*time.Millisecond, schedule.Backoff(100))
}
