package batch

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

const (
	// refusedItemBackoff is how long an item waits after a server refused it.
	refusedItemBackoff = 60 * time.Millisecond
	// refusedServerBackoff is how long a server that refused an item gets no
	// others.
	refusedServerBackoff = 150 * time.Millisecond
	// unreachableBackoff is how long a server that could not be reached gets no
	// items.
	unreachableBackoff = 500 * time.Millisecond
	// itemPriority is the priority of items. It ranks below live requests, whose
	// default is 5.
	itemPriority = 7
	// rerunPriority is the priority of runs for a later step.
	rerunPriority = 9
	// itemTimeout limits one run of an item.
	itemTimeout = 60 * time.Second
)

// errOldWeights is returned when a server runs weights that are too old for an
// item.
var errOldWeights = errors.New("batch: weights too old")

// errWeightsChanged is returned when a result would be produced by two versions
// of the weights although its route forbids it. The item starts over.
var errWeightsChanged = errors.New("batch: weights changed")

// start runs a waiting item on a server. It is called with the mutex held.
func (r *Runner) start(ctx context.Context, p schedule.Placement) {
	s, ok := r.fleet.Servers().Get(p.Server)
	if !ok {
		return
	}
	for _, j := range r.jobs {
		i := j.items[p.Item.ID]
		if i == nil || i.stop != nil || i.done || i.progress.Complete {
			continue
		}
		r.startOn(ctx, i, s)
		return
	}
}

// startOn starts a run of an item on a server. It is called with the mutex held.
func (r *Runner) startOn(ctx context.Context, i *item, s backend.Server) {
	if !i.progress.continuesOn(s) {
		r.startOver(i, "placed on another software version")
	}
	c, cancel := context.WithTimeout(ctx, itemTimeout)
	i.stop, i.server, i.started, i.moving, i.timer = cancel, s.ID, false, false, paceTimer{}
	i.lastServer, i.lastSoftware = s.ID, s.Software
	i.runs++
	i.spent.waiting += time.Since(i.readyAt)
	i.sentAt, i.progressAt = time.Now(), time.Now()
	r.work.Add(1)
	go r.run(c, i, s)
}

// run runs an item until it is done, fails or is stopped.
func (r *Runner) run(ctx context.Context, i *item, s backend.Server) {
	defer r.work.Done()
	begunAt := time.Now()
	status, err := r.attempt(ctx, i, s)
	stopped := ctx.Err() != nil
	if !stopped {
		outcome := metrics.Outcome(status, status == http.StatusServiceUnavailable, err)
		r.metrics.Attempt(metrics.KindItem, outcome, s.Address.String(), time.Since(begunAt))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i.stop()
	i.stop, i.server, i.readyAt = nil, "", time.Now()
	if err != nil || status != http.StatusOK {
		i.spent.interrupted += i.readyAt.Sub(i.progressAt)
	}
	if i.job.ended || i.done {
		return
	}
	r.handleOutcome(i, s, status, err, stopped)
	r.trigger()
}

// handleOutcome finishes an item or prepares it for another run, depending on
// the outcome of the last one. It is called with the mutex held.
func (r *Runner) handleOutcome(i *item, s backend.Server, status int, err error, stopped bool) {
	now := time.Now()
	switch {
	case stopped:
		return
	case errors.Is(err, backend.ErrLimited):
		i.notBefore = now.Add(refusedItemBackoff)
	case errors.Is(err, backend.ErrNotSent):
		r.paces.backOff(s.ID, unreachableBackoff)
		i.avoid = s.ID
	case errors.Is(err, errSoftwareChanged):
		// The server may run it: its text has been discarded.
	case errors.Is(err, errOldWeights):
		i.notBefore = now.Add(refusedItemBackoff)
		i.avoid = s.ID
	case err != nil:
		i.avoid = s.ID
		if !i.started {
			i.notBefore = now.Add(refusedItemBackoff)
		}
	case status == http.StatusOK:
		r.completeText(i)
		return
	case status == http.StatusUnprocessableEntity:
		r.finish(i, Abandoned, refusal.ReasonServer)
		return
	case status == http.StatusInternalServerError:
		i.progress.Failures.Add(s.ID)
		i.avoid = s.ID
		i.notBefore = now.Add(i.progress.Failures.Backoff())
		if i.progress.Failures.Final(r.maxServers(i)) {
			r.finish(i, Abandoned, refusal.ReasonServer)
			return
		}
	default:
		// The server is full or is loading weights.
		r.paces.backOff(s.ID, refusedServerBackoff)
		i.avoid = s.ID
	}
	r.log.Info("item will be retried", zap.String("Job", i.job.head.ID), zap.String("Item", i.ID), zap.String("Server", s.ID),
		zap.String("Software", s.Software), zap.Int("Status", status), zap.Int("After", i.progress.After), zap.Error(err))
}

// finish stops an item and records its result; reason is empty if the item is
// completed. It is called with the mutex held.
func (r *Runner) finish(i *item, s State, reason refusal.Reason) {
	j := i.job
	i.done = true
	i.stopAll()
	if j.returning {
		r.dropReturning(i.ID)
		return
	}
	result := Result{ID: i.ID, State: s}
	if s == Completed {
		r.log.Info("item completed", append(i.spent.fields(), zap.String("Job", j.head.ID), zap.String("Item", i.ID), zap.String("Group", i.Group), zap.Int("GroupItems", j.groupSize(i.Group)),
			zap.String("Server", i.lastServer), zap.Int("Events", i.progress.After), zap.Int("Runs", i.runs), zap.Int("Tokens", i.Tokens),
			zap.Ints("Weights", i.progress.Weights), zap.String("Software", i.lastSoftware))...)
		i.spent.record(r.metrics)
		result.Text = strings.Join(i.progress.Data, "\n")
		result.Weights = i.progress.Weights
		result.Score = i.score
	} else {
		r.log.Warn("item abandoned", zap.String("Job", j.head.ID), zap.String("Item", i.ID), zap.String("Group", i.Group),
			zap.Int("GroupItems", j.groupSize(i.Group)), zap.String("Reason", string(reason)), zap.String("Server", i.lastServer), zap.Int("Runs", i.runs), zap.Int("Failures", i.progress.Failures.Runs), zap.Strings("FailedOn", i.progress.Failures.Servers))
	}
	i.progress.Data = nil
	i.Body, i.Reward = nil, nil
	j.results = append(j.results, result)
}

// attempt sends an item to a server and reads its events.
func (r *Runner) attempt(ctx context.Context, i *item, s backend.Server) (int, error) {
	r.mutex.Lock()
	head := i.job.head
	req := backend.Request{
		ID: i.ID, Method: http.MethodPost, Target: i.Target, Host: head.Host, Body: i.Body,
		Header: headerOf(i.Header), Deadline: time.Now().Add(itemTimeout), Workspace: head.Workspace,
		Priority: itemPriority, HasPriority: true, ResumeAfter: i.progress.After,
	}
	if i.job.returning {
		req.Priority = rerunPriority
	}
	r.mutex.Unlock()
	resp, err := r.client.Do(ctx, s, req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	r.recordSlowdown(s, resp.Load)
	if resp.Weights > 0 {
		r.fleet.RecordLoaded(s.Incarnation(), head.Model, resp.Weights)
	}
	if resp.Status != http.StatusOK || resp.NotRun {
		return resp.Status, backend.DiscardBody(resp.Body, maxDiscardBytes)
	}
	if resp.Weights < head.MinVersion {
		return resp.Status, errors.Wrapf(errOldWeights, "version %d", resp.Weights)
	}
	return resp.Status, r.readEvents(i, head.Model, s, resp)
}

// recordSlowdown records the slowdown that a server reports when it begins an item.
func (r *Runner) recordSlowdown(s backend.Server, l backend.Load) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.paces.report(s.ID, l.Slowdown)
}

// maxDiscardBytes limits a response body that is not used.
const maxDiscardBytes = 64 << 10

// route returns the route of an item by the configuration in effect.
func (r *Runner) route(i *item) (route.Route, bool) {
	return r.fleet.Config().Route(i.job.head.Host, path(i.Target))
}

// maxServers returns the maximum number of servers on which an item may fail; it
// is 1 if the item has no route.
func (r *Runner) maxServers(i *item) int {
	if target, ok := r.route(i); ok {
		return target.MaxServers
	}
	return 1
}

func headerOf(h map[string]string) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		out.Set(k, v)
	}
	return out
}

func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// rotation returns an offset derived from an ID. With it, the remainder of each
// server's slots goes to other daemons.
func rotation(id string) int {
	return int(xxhash.Sum64String(id) % rotationCount)
}

// rotationCount is the number of different values of rotation and of turn.
const rotationCount = 1 << 16

// nextPageName returns a new, unique name for a page. It is called with the mutex
// held.
func (r *Runner) nextPageName() string {
	r.pageCount++
	return r.self + "-" + strconv.Itoa(r.pageCount)
}
