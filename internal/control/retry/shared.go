package retry

import (
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Shared is a Budget for many goroutines. The zero value is ready.
type Shared struct {
	mutex  sync.Mutex
	budget Budget
}

// Attempt counts a first attempt, which earns share retries.
func (s *Shared) Attempt(now time.Time, w fleet.Workspace, share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Attempt(now, w, share)
}

// Retry takes one retry from the budget. When there is none it returns false
// and the instant to come back at.
func (s *Shared) Retry(now time.Time, w fleet.Workspace) (bool, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget.Retry(now, w)
}
