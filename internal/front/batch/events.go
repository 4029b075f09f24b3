package batch

import (
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/sse"
)

// readEvents adds the events of a response to an item until the response ends.
func (r *Runner) readEvents(i *item, model string, s backend.Server, resp *backend.Response) error {
	events := sse.NewReader(resp.Body)
	weights := resp.Weights
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(backend.ErrIncomplete, err.Error())
		}
		if v, ok := resp.NewWeights(e.Fields); ok {
			weights = v
			r.fleet.RecordLoaded(s.Incarnation(), model, v)
		}
		if err := r.addEvent(i, s, e, weights); err != nil {
			return err
		}
	}
}

// addEvent adds an event to an item's progress. Its error is errWeightsChanged if
// that would mix versions of the weights; the progress is then discarded.
func (r *Runner) addEvent(i *item, s backend.Server, e sse.Event, weights int) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e.ID != i.progress.After+1 {
		return errors.Wrapf(backend.ErrIncomplete, "event %d after %d", e.ID, i.progress.After)
	}
	if r.replaced(s) {
		r.startOver(i, "server replaced")
		return errors.Wrapf(errSoftwareChanged, "server %s", s.ID)
	}
	if r.mixesVersions(i, weights) {
		r.startOver(i, "weights changed")
		return errors.Wrapf(errWeightsChanged, "version %d", weights)
	}
	now := time.Now()
	if i.progress.Lineage == "" {
		i.progress.Lineage = r.newLineage()
	}
	if d, ok := i.timer.observe(now); ok {
		r.paces.observe(s.ID, d, r.serverLoad[s.ID])
	}
	if i.started {
		i.spent.addGap(now.Sub(i.progressAt), r.paces.intervals[s.ID])
	} else {
		i.spent.starting += now.Sub(i.progressAt)
	}
	i.started, i.progressAt = true, now
	i.progress.After, i.progress.Software = e.ID, s.Software
	i.progress.Data = append(i.progress.Data, e.Data)
	i.progress.Weights = union(i.progress.Weights, []int{weights})
	return nil
}

// newLineage returns a new lineage, for a text that this daemon begins or
// continues.
// It is called with the mutex held.
func (r *Runner) newLineage() string {
	r.lineageCount++
	return r.self + "-" + strconv.Itoa(r.lineageCount)
}

// newBodySet returns a new, unique name for the bodies of a job.
func (r *Runner) newBodySet() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.bodySetCount++
	return r.self + "-" + strconv.Itoa(r.bodySetCount)
}

// mixesVersions reports whether an event would add a second version of the
// weights to a result that may have only one.
func (r *Runner) mixesVersions(i *item, weights int) bool {
	if len(i.progress.Weights) == 0 || slices.Contains(i.progress.Weights, weights) {
		return false
	}
	target, ok := r.route(i)
	return ok && target.SingleVersion
}
