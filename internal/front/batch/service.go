package batch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
	"github.com/lacewingtally/lacewingtally/internal/control/step"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	// acceptLimit limits the time to write a job.
	acceptLimit = 15 * time.Second
	// acceptAttempts is the maximum number of attempts to write a job.
	acceptAttempts = 3
	// pollInterval is the time between two reads of the index while a caller
	// waits for results, and lastPollInterval that while the trainer waits for one
	// more group only.
	pollInterval     = 90 * time.Millisecond
	lastPollInterval = 25 * time.Millisecond
	// retryInterval is the pause after a failed call to the store.
	retryInterval = 60 * time.Millisecond
	// endTimeout limits one attempt to end a job.
	endTimeout = 900 * time.Millisecond
	// defaultTokens is the expected length of an item if the caller does not
	// specify it.
	defaultTokens = 1000
)

// Service handles callers' requests about batch jobs. Use NewService. Its
// methods may be called from any goroutine.
type Service struct {
	fleet  *fleet.State
	ledger Ledger
	log    *zap.Logger
	runner *Runner
}

// Answer contains some of a job's results.
type Answer struct {
	// Total is the number of the job's items.
	Total   int
	Results []Result
	// Next is the position after the last of Results.
	Next int
}

// NewService returns a Service. The items of its jobs are run by r and by the
// runners of other daemons.
func NewService(f *fleet.State, l Ledger, r *Runner, log *zap.Logger) *Service {
	return &Service{fleet: f, ledger: l, log: log, runner: r}
}

// Submit accepts a job; submitting the same ID again has no effect. Its error is
// ErrTooLarge or a *refusal.Error; NotRun guarantees that no item of the job runs.
func (s *Service) Submit(ctx context.Context, j Submission) error {
	// By the latest time no item is abandoned before its time.
	now, ok := s.fleet.Clock.Latest()
	if !ok {
		return unavailable(store.ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptLimit)
	defer cancel()
	routes := s.routeNames(j)
	members, err := s.runnersFor(j, routes)
	if err != nil {
		return err
	}
	h, shards := assignItems(j, now, members, s.runner.previousOwners(j))
	h.Routes = routes
	ctx = s.runner.homeContext(ctx, h)
	bodySet := s.runner.newBodySet()
	mayBeWritten := false
	for range acceptAttempts {
		written, err := s.ledger.create(ctx, h, shards, bodySet)
		switch {
		case err == nil:
			s.log.Info("job accepted", zap.String("Job", j.ID), zap.String("Workspace", j.Workspace),
				zap.Int("Step", j.Step), zap.Int("MinVersion", j.MinVersion), zap.Int("Items", len(j.Items)), zap.Int("Desired", j.Desired))
			s.runner.addAccepted(written, shards)
			return nil
		case errors.Is(err, store.ErrConflict):
			s.log.Info("job already accepted", zap.String("Job", j.ID))
			return nil
		case errors.Is(err, ErrTooLarge):
			s.log.Warn("job too large", zap.String("Job", j.ID), zap.Int("Items", len(j.Items)), zap.Error(err))
			return ErrTooLarge
		case errors.Is(err, store.ErrUnknown):
			mayBeWritten = true
		case !errors.Is(err, store.ErrUnavailable):
			s.log.Error("cannot write job", zap.String("Job", j.ID), zap.Error(err))
			return unavailable(err)
		}
		s.log.Warn("job not written yet", zap.String("Job", j.ID), zap.Error(err))
		fleet.Sleep(ctx, retryInterval)
		if ctx.Err() != nil {
			break
		}
	}
	if mayBeWritten {
		return refusal.MayHaveRun(refusal.ReasonStore, time.Time{}, store.ErrUnknown)
	}
	return unavailable(store.ErrUnavailable)
}

// Results returns the results from a position on. If there are none yet, it waits, at
// most for the duration wait, until there are some and the groups that the trainer
// desires are complete: a trainer that is answered earlier has nothing to go on with,
// and reads again only after a pause. Its error is ErrNotFound or a *refusal.Error.
func (s *Service) Results(ctx context.Context, workspace, id string, after int, wait time.Duration) (Answer, error) {
	h, err := s.head(ctx, workspace, id)
	if err != nil {
		return Answer{}, err
	}
	deadline := time.Now().Add(wait)
	groups := h.groups()
	for waited := false; ; waited = true {
		pages, err := s.ledger.pages(ctx, id)
		if err != nil {
			return Answer{}, unavailable(err)
		}
		ranges, total := locate(pages, after)
		missing := missingGroups(groups, pages)
		over := total >= len(h.Items) || !time.Now().Before(deadline) || ctx.Err() != nil
		switch {
		case len(ranges) > 0 && (!waited || over || missing == 0):
			return s.answer(ctx, h, after, ranges)
		case over:
			return Answer{Total: len(h.Items), Next: after}, nil
		case missing == 1:
			fleet.Sleep(ctx, lastPollInterval)
		default:
			fleet.Sleep(ctx, pollInterval)
		}
	}
}

// groups returns the groups of a job's items.
func (h Head) groups() step.Groups {
	names := make([]string, len(h.Items))
	for i, x := range h.Items {
		names[i] = x.Group
	}
	return step.NewGroups(names, h.Desired)
}

// missingGroups returns how many more groups the trainer waits for, or 0 if the index
// does not tell.
func missingGroups(g step.Groups, pages []page) int {
	var finished []int
	for _, p := range pages {
		if p.Positions == nil {
			return 0
		}
		finished = append(finished, p.Positions...)
	}
	return g.Missing(finished)
}

// Body returns the body of an item. Its error is ErrNotFound or a
// *refusal.Error.
func (s *Service) Body(ctx context.Context, workspace, id, item string) ([]byte, error) {
	h, err := s.head(ctx, workspace, id)
	if err != nil {
		return nil, err
	}
	for _, i := range h.Items {
		if i.ID != item {
			continue
		}
		items, err := s.ledger.bodies(s.runner.homeContext(ctx, h), h, i.Shard)
		if err != nil {
			return nil, unavailable(err)
		}
		for _, b := range items {
			if b.ID == item {
				return b.Body, nil
			}
		}
		return nil, unavailable(errors.New("batch: bodies incomplete"))
	}
	return nil, ErrNotFound
}

// End ends a job. Its error is ErrNotFound or a *refusal.Error.
func (s *Service) End(ctx context.Context, workspace, id string) error {
	if _, err := s.head(ctx, workspace, id); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	if err := s.ledger.end(c, id); err != nil {
		return unavailable(err)
	}
	s.log.Info("job ended", zap.String("Job", id), zap.String("Workspace", workspace))
	s.runner.endJob(id)
	return nil
}

func (s *Service) answer(ctx context.Context, h Head, after int, ranges []pageRange) (Answer, error) {
	results, err := s.ledger.results(s.runner.homeContext(ctx, h), h.ID, ranges)
	if err != nil {
		return Answer{}, unavailable(err)
	}
	return Answer{Total: len(h.Items), Results: results, Next: after + len(results)}, nil
}

// head returns the head of a job. Its error is ErrNotFound if the workspace has
// no such job, or a *refusal.Error.
func (s *Service) head(ctx context.Context, workspace, id string) (Head, error) {
	h, ok := s.runner.head(id)
	if !ok {
		var err error
		h, err = s.ledger.head(ctx, id)
		if errors.Is(err, ErrNotFound) {
			return Head{}, err
		}
		if err != nil {
			return Head{}, unavailable(err)
		}
	}
	if h.Workspace != workspace {
		return Head{}, ErrNotFound
	}
	return h, nil
}

// storeRetryDelay is the delay after which callers should retry while the store
// does not answer.
const storeRetryDelay = 200 * time.Millisecond

// unavailable returns the refusal of a call for which the store is needed but not
// available.
func unavailable(cause error) *refusal.Error {
	return refusal.NotRun(refusal.ReasonStore, time.Now().Add(storeRetryDelay), cause)
}

// assignItems builds a job's head, and assigns each item to a daemon: that of
// previousOwners, by item, if it is a member.
func assignItems(j Submission, now time.Time, members []fleet.Member, previousOwners map[string]string) (Head, [][]Item) {
	h := Head{
		ID: j.ID, Workspace: j.Workspace, Host: j.Host, Model: j.Model, Step: j.Step,
		MinVersion: j.MinVersion, Desired: j.Desired, SubmittedAt: now.UnixMilli(),
		DueAt: now.Add(j.DueAfter).UnixMilli(), GiveUpAt: now.Add(j.GiveUpAfter).UnixMilli(),
	}
	if len(members) == 0 {
		members = []fleet.Member{{Share: 1}}
	}
	lengths := make([]int, len(j.Items))
	for i, t := range j.Items {
		lengths[i] = expectedTokens(t.Tokens, t.Limit)
	}
	weights := make([]float64, len(members))
	for i, m := range members {
		weights[i] = max(m.Share, minCoreShare)
	}
	fixed := make([]int, len(j.Items))
	for i, t := range j.Items {
		owner, ok := previousOwners[t.ID]
		fixed[i] = slices.IndexFunc(members, func(m fleet.Member) bool { return ok && m.ID == owner })
	}
	shards := make([][]Item, len(members))
	for i, d := range schedule.Assign(lengths, weights, fixed) {
		t := j.Items[i]
		h.Items = append(h.Items, ItemHead{ID: t.ID, Group: t.Group, Tokens: t.Tokens, Limit: t.Limit, Shard: d})
		shards[d] = append(shards[d], t)
	}
	for _, m := range members {
		h.Shards = append(h.Shards, Shard{Member: m.ID})
	}
	return h, shards
}

// minCoreShare is the lower limit of a daemon's core share when items are
// assigned.
const minCoreShare = 0.01

// expectedTokens returns the number of tokens that an item is expected to
// produce.
func expectedTokens(tokens, limit int) int {
	switch {
	case tokens > 0 && limit > 0:
		return min(tokens, limit)
	case tokens > 0:
		return tokens
	case limit > 0:
		return min(limit, defaultTokens)
	}
	return defaultTokens
}
