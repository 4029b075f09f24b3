package batch

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Path knows whether this daemon reaches the servers.
type Path interface {
	// Partitioned reports whether it does not.
	Partitioned() bool
	// Confirmed reports whether it does not and a second check has confirmed it.
	Confirmed() bool
}

// SetPath makes the Runner yield its items while this daemon does not reach the servers.
// announce tells the other daemons at once. It must be called before Serve.
func (r *Runner) SetPath(p Path, announce func(context.Context)) {
	r.path, r.announce = p, announce
}

// YieldedAt returns when this daemon last yielded its items, by the store's clock; zero if
// never.
func (r *Runner) YieldedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.yieldedAt
}

// checkPath yields all items once it is certain that this daemon does not reach the
// servers: it stops them, writes what it has of them, and only then announces that they
// belong to other daemons. Serve calls it until it has done so.
func (r *Runner) checkPath(ctx context.Context) {
	if r.path == nil || !r.path.Confirmed() {
		r.resume()
		return
	}
	if !r.suspend() || !r.fleet.Reachable() {
		return
	}
	r.writeAllResults(ctx)
	r.writeAllCheckpoints(ctx)
	if r.hasUnwritten() || !r.yield() {
		return
	}
	r.announce(ctx)
}

// resume lets items be started again.
func (r *Runner) resume() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.suspended, r.yielded = false, false
}

// suspend stops all items if another daemon can run them. It reports whether there is
// something to yield and none runs any more.
func (r *Runner) suspend() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.suspended = !r.leaving && r.hasTakers()
	if !r.suspended || r.yielded && !r.ownsItems() {
		return false
	}
	for id := range r.returning {
		r.dropReturning(id)
	}
	running := false
	for _, j := range r.jobs {
		for _, i := range j.items {
			i.stopAll()
			running = running || i.stop != nil || len(i.reward.stops) > 0
		}
	}
	return !running
}

// yield drops all items, unless one runs again. It reports whether it did.
func (r *Runner) yield() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// Submissions are stamped with the latest time as well.
	now, ok := r.fleet.Clock.Latest()
	if !ok || !r.suspended {
		return false
	}
	items := 0
	for _, j := range r.jobs {
		for id, i := range j.items {
			if !i.done {
				items++
				delete(j.items, id)
			}
		}
	}
	r.yieldedAt, r.yielded = now, true
	r.log.Warn("items yielded to daemons that reach the servers", zap.Int("Items", items))
	return true
}

// hasTakers reports whether another daemon reaches the servers. It is called with the
// mutex held.
func (r *Runner) hasTakers() bool {
	for _, m := range r.fleet.Members().Active() {
		if m.ID != r.self && !m.Partitioned {
			return true
		}
	}
	return false
}

// ownsItems reports whether unfinished items belong to this daemon, including some that it
// has not loaded. It is called with the mutex held.
func (r *Runner) ownsItems() bool {
	o := r.owners()
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		for _, h := range j.head.Items {
			if i := j.items[h.ID]; i != nil && i.done {
				continue
			}
			if o.owner(j, h) == r.self || j.items[h.ID] != nil {
				return true
			}
		}
	}
	return false
}
