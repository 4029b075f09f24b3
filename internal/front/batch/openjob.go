package batch

import (
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/share"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// job is an open job.
type job struct {
	head  Head
	ended bool
	// endedAt is when this daemon learned of the end.
	endedAt time.Time
	// items are the items that belong to this daemon, by ID.
	items map[string]*item
	// loading is set while load reads items from the store.
	loading bool
	// returning is set on the copy of a job that items have while they may return in
	// a later one; it holds nothing but the head.
	returning bool
	// returned contains the groups that an earlier job left out, and leftOutShare is
	// the fraction of the groups that the trainer does not wait for.
	returned     map[string]bool
	leftOutShare float64
	// groups holds the position of each group, and groupNames the first group at each.
	groups     map[string]int
	groupNames []string
	// class is what was expected of the step last.
	class share.Class
	// isNew is set if the job was younger than newJobAge when this daemon added it.
	isNew bool
	// results are waiting to be written; writing is set while writeResults runs.
	results []Result
	writing bool
	// checkpointing is set while checkpoints are written.
	checkpointing bool
	// currentPage is the results that are being written.
	currentPage []Result
}

// item is an item that belongs to this daemon.
type item struct {
	Item

	// job is the job that the item belongs to.
	job      *job
	progress Progress
	// checkpointed is the last event that a stored checkpoint contains, and
	// checkpointedEnd describes the checkpoint of the complete text.
	checkpointed    int
	checkpointedEnd checkpointedEnd
	// lastServer, lastSoftware, runs and spent are logged with the item's outcome.
	lastServer   string
	lastSoftware string
	runs         int
	spent        spent
	// readyAt is when the item began to wait, and offeredFor its value when the item was
	// last offered to the servers.
	readyAt    time.Time
	offeredFor time.Time
	// notBefore is the earliest time of the next run; zero sets no limit.
	notBefore time.Time
	// avoid is the ID of the server that should not get the item; empty for none.
	avoid string
	// stop cancels the run; it is nil while the item is not running.
	stop func()
	// server is the ID of the server that runs the item; empty while none does.
	server string
	// sentAt is when the run started, and progressAt when its last event arrived, or
	// sentAt before the first one.
	sentAt     time.Time
	progressAt time.Time
	// started is set once the run has produced an event.
	started bool
	// moving is set after the run was stopped to resume it elsewhere.
	moving bool
	// stalls is the number of times that the item was stopped because its server
	// counted as unresponsive.
	stalls int
	// timer measures the server's pace.
	timer paceTimer
	// reward is the state of the reward call, and score its answer.
	reward rewardCall
	score  string
	done   bool
	// keepUntil is until when an item without a job is kept for a later one; zero while
	// its job is open.
	keepUntil time.Time
	// finishedAt is, for a rerun, when the text was completed in the open job.
	finishedAt time.Time
}

// put adds an item to the job.
func (j *job) put(i *item) {
	i.job = j
	j.items[i.ID] = i
}

// stopAll cancels the item's run and its reward call.
func (i *item) stopAll() {
	if i.stop != nil {
		i.stop()
	}
	i.reward.stop()
}

// checkpointedEnd is what the stored checkpoints contain about the end of a text.
type checkpointedEnd struct {
	complete       bool
	rewardFailures int
}

// addAccepted adds a job that this daemon has just created.
func (r *Runner) addAccepted(h Head, shards [][]Item) {
	r.mutex.Lock()
	j := r.add(h)
	for s, items := range shards {
		if h.Shards[s].Member == r.self {
			r.addItems(j, items, nil, nil)
		}
	}
	r.mutex.Unlock()
	r.trigger()
}

// add returns the job with the given head, and adds it if it is unknown. It is
// called with the mutex held.
func (r *Runner) add(h Head) *job {
	j, ok := r.jobs[h.ID]
	if !ok {
		j = &job{head: h, items: make(map[string]*item), returned: r.knownGroups(h), leftOutShare: h.groups().LeftOutShare()}
		j.indexGroups()
		now, known := r.fleet.Clock.Latest()
		j.isNew = known && now.UnixMilli()-h.SubmittedAt < newJobAge.Milliseconds()
		r.jobs[h.ID] = j
	}
	return j
}

// endJob marks a known job as ended, stops its items and removes them. An unknown one
// may become known by a read of its rows that is under way.
func (r *Runner) endJob(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	j, ok := r.jobs[id]
	if !ok && r.existing.reading {
		r.existing.ended.Add(id)
	}
	if !ok || j.ended {
		return
	}
	j.ended, j.endedAt = true, time.Now()
	r.recordServed(j)
	stopped, kept := 0, 0
	for _, i := range j.items {
		if r.keepForReturn(i, j.endedAt) {
			kept++
			continue
		}
		if i.stop != nil {
			stopped++
		}
		i.stopAll()
	}
	j.items = nil
	r.log.Info("job ended, its running items stopped", zap.String("Job", id), zap.Int("Stopped", stopped), zap.Int("Kept", kept))
}

// head returns the head of a known job.
func (r *Runner) head(id string) (Head, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	j, ok := r.jobs[id]
	if !ok {
		return Head{}, false
	}
	return j.head, true
}

// applyRows applies rows of the job table. Heads are applied first, because the
// rows of a job are sorted by name, so that its end comes before its head.
func (r *Runner) applyRows(rows []store.Row) {
	for _, row := range rows {
		if row.Key.Name != headName || row.Removed {
			continue
		}
		h, err := decodeHead(row.Value)
		if err != nil {
			r.log.Error("cannot decode job", zap.String("Job", row.Key.Part), zap.Error(err))
			continue
		}
		r.mutex.Lock()
		r.add(h)
		ended := r.existing.ended.Contains(h.ID)
		r.mutex.Unlock()
		if ended {
			r.endJob(h.ID)
		}
	}
	for _, row := range rows {
		// The head of a job is removed with all that belongs to it.
		if row.Removed == (row.Key.Name == headName) {
			r.endJob(row.Key.Part)
		}
	}
	r.trigger()
}
