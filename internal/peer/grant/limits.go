package grant

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/limit"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

const (
	// maxFailedRequests is the maximum number of recorded requests that failed
	// at their servers.
	maxFailedRequests = 8192
	// minDemand is the rate at or below which a demand is not sent.
	minDemand = 0.001
)

// limits holds this daemon's shares of the fleet-wide limits. The zero value
// uses equal shares. Its methods may be called from any goroutine.
type limits struct {
	mutex  sync.Mutex
	shares map[limit.Key]*limit.Share
	// failed contains requests that failed at their servers and may be retried
	// without another charge.
	failed *simplelru.LRU[requestKey, struct{}]
}

type requestKey struct {
	workspace fleet.Workspace
	id        fleet.RequestID
}

// demands returns the demands above minDemand, in a stable order, and removes
// the other shares.
func (l *limits) demands(now time.Time) []demand {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var out []demand
	for k, s := range l.shares {
		if r := s.Demand(now); r > minDemand {
			out = append(out, demand{Key: k, Rate: r})
		} else {
			delete(l.shares, k)
		}
	}
	slices.SortFunc(out, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.Key.Workspace, b.Key.Workspace), cmp.Compare(a.Key.Setting, b.Key.Setting))
	})
	return out
}

func (l *limits) setShare(sent time.Time, k limit.Key, fraction float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.share(k).SetFraction(sent, fraction)
}

// refund reverses the charges of a request that got no grant.
func (l *limits) refund(now time.Time, s *view.State, r *gate.Request, charged int) {
	if r.Workspace == "" || charged == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.charge(now, s, limit.Key{Workspace: r.Workspace, Setting: config.RequestsPerSecond}, -1)
	l.charge(now, s, limit.Key{Workspace: r.Workspace, Setting: config.TokensPerSecond}, -float64(charged))
}

// settle corrects the token charge to the actual number of tokens. A request that
// failed at its server is recorded, so that its retry is not charged again.
func (l *limits) settle(now time.Time, s *view.State, r *gate.Request, charged int, v gate.Report) {
	if r.Workspace == "" {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.charge(now, s, limit.Key{Workspace: r.Workspace, Setting: config.TokensPerSecond}, float64(v.Tokens-charged))
	if v.Outcome != gate.Completed && v.Outcome != gate.Stopped && r.ID != "" {
		l.failedRequests().Add(requestKey{workspace: r.Workspace, id: r.ID}, struct{}{})
	}
}

// spend charges a request to the limits of its workspace or returns a refusal.
// It returns the number of tokens charged, 0 for a retry after a failure of the
// server. Requests of open routes have no workspace and no limit.
func (l *limits) spend(now time.Time, s *view.State, r *gate.Request) (int, error) {
	if r.Workspace == "" {
		return 0, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failedRequests().Remove(requestKey{workspace: r.Workspace, id: r.ID}) {
		return 0, nil
	}
	tokens := max(r.Tokens, 1)
	requests := limit.Key{Workspace: r.Workspace, Setting: config.RequestsPerSecond}
	if err := l.take(now, s, requests, 1); err != nil {
		return 0, err
	}
	k := limit.Key{Workspace: r.Workspace, Setting: config.TokensPerSecond}
	if err := l.take(now, s, k, float64(tokens)); err != nil {
		l.charge(now, s, requests, -1)
		return 0, err
	}
	return tokens, nil
}

func (l *limits) charge(now time.Time, s *view.State, k limit.Key, n float64) {
	l.share(k).Charge(now, s.Config.Value(k.Setting, k.Workspace), n, len(s.Members))
}

func (l *limits) failedRequests() *simplelru.LRU[requestKey, struct{}] {
	if l.failed == nil {
		l.failed, _ = simplelru.NewLRU[requestKey, struct{}](maxFailedRequests, nil)
	}
	return l.failed
}

func (l *limits) share(k limit.Key) *limit.Share {
	if l.shares == nil {
		l.shares = make(map[limit.Key]*limit.Share)
	}
	s := l.shares[k]
	if s == nil {
		s = &limit.Share{}
		l.shares[k] = s
	}
	return s
}

func (l *limits) take(now time.Time, s *view.State, k limit.Key, n float64) error {
	rate := s.Config.Value(k.Setting, k.Workspace)
	ok, at := l.share(k).Take(now, rate, n, len(s.Members))
	if !ok {
		return refusal.NotRun(refusal.ReasonLimit, at, nil)
	}
	return nil
}
