package retry

import (
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Shared is a Budget that is safe for concurrent use. The zero value is ready.
type Shared struct {
	mutex  sync.Mutex
	budget Budget
}

// Attempt records a first attempt, which adds share retries to the budget.
func (s *Shared) Attempt(now time.Time, w fleet.Workspace, share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget.Attempt(now, w, share)
}

// Retry takes one retry from the budget. If there is none, it returns false and
// the time at which to ask again.
func (s *Shared) Retry(now time.Time, w fleet.Workspace) (bool, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget.Retry(now, w)
}
