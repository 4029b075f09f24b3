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
	// grantTTL is the time within which a granted attempt must be sent.
	grantTTL = time.Second
	// retryAfter is the retry delay returned with a refusal.
	retryAfter = time.Second
)

// FirstLive is an in-process Gate for tests. It immediately grants the first live
// server of the pool that is not excluded, without any limit. Its methods may be
// called from any goroutine.
type FirstLive struct {
	Source view.Source
	// BeforeAcquire and BeforeRelease, if set, are called at the start of
	// Acquire and Release.
	BeforeAcquire func()
	BeforeRelease func()

	mutex   sync.Mutex
	grants  int
	reports []Report
}

// Acquire implements Gate.
func (f *FirstLive) Acquire(_ context.Context, r Request) (Grant, error) {
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
		return Grant{ID: fmt.Sprint(f.grants), Server: s, NotAfter: now.Add(grantTTL), Request: r}, nil
	}
	return Grant{}, refusal.NotRun(refusal.ReasonNoServer, now.Add(retryAfter), nil)
}

// Unreleased returns the number of grants that have not been released yet.
func (f *FirstLive) Unreleased() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.grants - len(f.reports)
}

// Release implements Gate.
func (f *FirstLive) Release(_ Grant, r Report) {
	if f.BeforeRelease != nil {
		f.BeforeRelease()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reports = append(f.reports, r)
}

// Reports returns the reports of the released grants, in order of release.
func (f *FirstLive) Reports() []Report {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.reports)
}
