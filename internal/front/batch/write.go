package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// maxPageResults is the maximum number of results in one page.
const maxPageResults = 40

// writeAllResults starts writing the waiting results, with at most one write
// per job at a time.
func (r *Runner) writeAllResults(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		if len(j.results) == 0 || j.writing {
			continue
		}
		j.writing = true
		go r.writeResults(r.homeContext(ctx, j.head), j)
	}
}

// writeResults writes the results of a job until none is waiting.
func (r *Runner) writeResults(ctx context.Context, j *job) {
	fleet.Sleep(ctx, r.listDelay(j))
	for {
		r.mutex.Lock()
		page := nextPage(j)
		j.currentPage = page
		name := r.nextPageName()
		if len(page) == 0 {
			j.writing = false
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		r.writePage(context.WithoutCancel(ctx), j.head, name, page)
	}
}

// listDelay returns how long the results of a job are collected.
func (r *Runner) listDelay(j *job) time.Duration {
	now, ok := r.fleet.Clock.Now()
	if ok && time.UnixMilli(j.head.DueAt).Sub(now) < urgentListTime {
		return urgentListDelay
	}
	return listDelay
}

// nextPage removes as many of the job's waiting results as fit one page and
// returns them.
func nextPage(j *job) []Result {
	n, size := 0, 0
	for n < len(j.results) && n < maxPageResults && (n == 0 || size+len(j.results[n].Text) < maxTxnBytes) {
		size += len(j.results[n].Text)
		n++
	}
	page := j.results[:n]
	j.results = j.results[n:]
	return page
}

// writePage writes a page and retries until the store has it. Results of items
// that already have a result in the store are left out.
func (r *Runner) writePage(ctx context.Context, h Head, name string, page []Result) {
	for len(page) > 0 {
		c, cancel := context.WithTimeout(ctx, writeTimeout)
		existing, stored, err := r.ledger.writePage(c, h, name, page)
		cancel()
		switch {
		case err == nil || stored:
			r.log.Info("results listed", zap.String("Job", h.ID), zap.String("Page", name), zap.Int("Results", len(page)))
			return
		case errors.Is(err, store.ErrConflict):
			page = without(page, existing)
		default:
			r.log.Warn("results not listed yet", zap.String("Job", h.ID), zap.String("Page", name), zap.Error(err))
			fleet.Sleep(ctx, retryInterval)
		}
	}
}

// writeAllCheckpoints starts writing the progress of items, with at most one
// write per job at a time.
func (r *Runner) writeAllCheckpoints(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		checkpoints := j.pendingCheckpoints()
		if len(checkpoints) == 0 || j.checkpointing {
			continue
		}
		j.checkpointing = true
		go r.writeCheckpoints(r.homeContext(ctx, j.head), j, checkpoints)
	}
}

func (r *Runner) writeCheckpoints(ctx context.Context, j *job, checkpoints []Checkpoint) {
	c, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := r.ledger.writeCheckpoints(c, j.head.ID, checkpoints)
	if err != nil {
		r.log.Info("checkpoints not written", zap.String("Job", j.head.ID), zap.Error(err))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	j.checkpointing = false
	if err != nil || j.ended {
		return
	}
	for _, w := range written {
		if i := j.items[w.Item]; i != nil && i.progress.Lineage == w.Lineage && i.checkpointed == w.From {
			i.checkpointed = w.To
			i.checkpointedEnd = checkpointedEnd{complete: w.Complete, rewardFailures: w.RewardFailures.Runs}
		}
	}
}

// pendingCheckpoints returns the next checkpoint of each unfinished item whose
// progress is not completely in the store.
func (j *job) pendingCheckpoints() []Checkpoint {
	var out []Checkpoint
	for _, i := range j.items {
		if i.done || i.progress.Lineage == "" || i.isCheckpointed() {
			continue
		}
		to := i.checkpointEnd()
		// Events are numbered from 1, so event n is at index n-1.
		out = append(out, Checkpoint{
			Item: i.ID, Lineage: i.progress.Lineage, From: i.checkpointed, To: to, Data: i.progress.Data[i.checkpointed:to],
			Weights: i.progress.Weights, Software: i.progress.Software, Complete: i.progress.Complete && to == i.progress.After,
			Failures: i.progress.Failures, RewardFailures: i.progress.RewardFailures,
		})
	}
	return out
}

// isCheckpointed reports whether the stored checkpoints contain all of an item's
// progress.
func (i *item) isCheckpointed() bool {
	if i.progress.After > i.checkpointed {
		return false
	}
	return !i.progress.Complete ||
		i.checkpointedEnd == checkpointedEnd{complete: true, rewardFailures: i.progress.RewardFailures.Runs}
}

// checkpointEnd returns the last event of the next checkpoint, which must fit
// one row.
func (i *item) checkpointEnd() int {
	size := 0
	for n := i.checkpointed; n < i.progress.After; n++ {
		size += len(i.progress.Data[n])
		if size > chunkBytes && n > i.checkpointed {
			return n
		}
	}
	return i.progress.After
}

// hasUnwritten reports whether some results or progress are not in the store
// yet.
func (r *Runner) hasUnwritten() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		if !j.ended && (len(j.results) > 0 || j.writing || len(j.pendingCheckpoints()) > 0) {
			return true
		}
	}
	return false
}

func without(page []Result, exclude map[string]bool) []Result {
	var out []Result
	for _, p := range page {
		if !exclude[p.ID] {
			out = append(out, p)
		}
	}
	return out
}
