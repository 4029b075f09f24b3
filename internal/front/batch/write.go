package batch

import (
	"context"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// maxPage bounds the results of one page.
const maxPage = 40

// listAll writes the results that wait, one write a job at a time.
func (r *Runner) listAll(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		if len(j.results) == 0 || j.writing {
			continue
		}
		j.writing = true
		go r.list(ctx, j)
	}
}

// list writes the results of a job until none waits.
func (r *Runner) list(ctx context.Context, j *job) {
	fleet.Sleep(ctx, listInterval)
	for {
		r.mutex.Lock()
		page := takePage(j)
		j.inPage = page
		name := r.pageName()
		if len(page) == 0 {
			j.writing = false
			r.mutex.Unlock()
			return
		}
		r.mutex.Unlock()
		r.writePage(context.WithoutCancel(ctx), j.head.ID, name, page)
	}
}

// takePage takes results that fit one page.
func takePage(j *job) []Result {
	n, size := 0, 0
	for n < len(j.results) && n < maxPage && (n == 0 || size+len(j.results[n].Text) < maxTxnBytes) {
		size += len(j.results[n].Text)
		n++
	}
	page := j.results[:n]
	j.results = j.results[n:]
	return page
}

// writePage writes a page until the store has it. Items that another daemon has
// listed meanwhile are left out.
func (r *Runner) writePage(ctx context.Context, id, name string, page []Result) {
	for len(page) > 0 {
		c, cancel := context.WithTimeout(ctx, writeTimeout)
		taken, own, err := r.ledger.list(c, id, name, page)
		cancel()
		switch {
		case err == nil || own:
			r.log.Info("results listed", zap.String("Job", id), zap.String("Page", name), zap.Int("Results", len(page)))
			return
		case errors.Is(err, store.ErrConflict):
			page = without(page, taken)
		default:
			r.log.Warn("results not listed yet", zap.String("Job", id), zap.String("Page", name), zap.Error(err))
			fleet.Sleep(ctx, retryInterval)
		}
	}
}

// markAll writes the progress of running items.
func (r *Runner) markAll(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		marks := j.marks()
		if len(marks) == 0 || j.marking {
			continue
		}
		j.marking = true
		r.work.Add(1)
		go r.mark(ctx, j, marks)
	}
}

func (r *Runner) mark(ctx context.Context, j *job, marks []Mark) {
	defer r.work.Done()
	c, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	taken, err := r.ledger.mark(c, j.head.ID, marks)
	if err != nil {
		r.log.Info("checkpoints not written", zap.String("Job", j.head.ID), zap.Error(err))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	j.marking = false
	if err != nil || j.ended {
		return
	}
	for _, m := range taken {
		if i := j.items[m.Item]; i != nil && i.progress.Lineage == m.Lineage && i.marked == m.From {
			i.marked = m.To
		}
	}
}

// marks returns the progress that no checkpoint holds.
func (j *job) marks() []Mark {
	var out []Mark
	for _, i := range j.items {
		if i.done || i.progress.Lineage == "" || i.progress.After <= i.marked {
			continue
		}
		to := i.stretch()
		// Events are numbered from 1, so event n stands at n-1.
		out = append(out, Mark{
			Item: i.ID, Lineage: i.progress.Lineage, From: i.marked, To: to, Data: i.progress.Data[i.marked:to],
			Weights: i.progress.Weights, Failures: i.progress.Failures,
		})
	}
	return out
}

// stretch returns the last event of the next checkpoint, which one row holds.
func (i *item) stretch() int {
	size := 0
	for n := i.marked; n < i.progress.After; n++ {
		size += len(i.progress.Data[n])
		if size > chunkBytes && n > i.marked {
			return n
		}
	}
	return i.progress.After
}

// unwritten reports whether the store lacks results or progress.
func (r *Runner) unwritten() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		if !j.ended && (len(j.results) > 0 || j.writing || len(j.marks()) > 0) {
			return true
		}
	}
	return false
}

func without(page []Result, taken map[string]bool) []Result {
	var out []Result
	for _, p := range page {
		if !taken[p.ID] {
			out = append(out, p)
		}
	}
	return out
}
