package gate

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

const (
	// grantWindow is how long a grant may be used.
	grantWindow = time.Second
	// returnAfter is when a refused request may come back.
	returnAfter = time.Second
)

// First is a Gate within one process, for tests: it grants the first live server
// that is not excluded, to anyone at once. Its methods may be called from any goroutine.
type First struct {
	Source view.Source
	// BeforeAcquire and BeforeRelease, if set, are called first.
	BeforeAcquire func()
	BeforeRelease func()

	mutex   sync.Mutex
	grants  int
	reports []Report
}

// Acquire implements Gate.
func (f *First) Acquire(_ context.Context, r Request) (Grant, error) {
	if f.BeforeAcquire != nil {
		f.BeforeAcquire()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for _, s := range f.Source.State().Servers {
		if s.Pool != r.Pool || s.State != fleet.StateLive || slices.Contains(r.Exclude, s.ID) {
			continue
		}
		f.grants++
		return Grant{ID: fmt.Sprint(f.grants), Server: s, NotAfter: now.Add(grantWindow), Request: r}, nil
	}
	return Grant{}, refusal.NotRun(refusal.ReasonNoServer, now.Add(returnAfter), nil)
}

// Balance returns the number of grants that were not released.
func (f *First) Balance() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.grants - len(f.reports)
}

// Release implements Gate.
func (f *First) Release(_ Grant, r Report) {
	if f.BeforeRelease != nil {
		f.BeforeRelease()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reports = append(f.reports, r)
}

// Reports returns how the released grants ended, in order.
func (f *First) Reports() []Report {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.reports)
}
