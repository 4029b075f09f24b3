package duty

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

const (
	usageTable = "usage"
	// usageParts is the number of parts over which the daemons' counts are spread:
	// the store limits the writes to one part, and heartbeats and the duty's lease
	// share the part without a name.
	usageParts = 8
	// sealTable holds the total counts of each window, written once. Only these
	// are reported.
	sealTable = "sealed"
	// usageInterval is the time between two writes of a daemon's counts.
	usageInterval = 600 * time.Millisecond
	// sealAfter is how long after a window's end its counts are added up.
	sealAfter = 1800 * time.Millisecond
	// reportInterval is the time between two checks for windows to report.
	reportInterval = 500 * time.Millisecond
	// keepWindows is the number of windows whose counts a daemon keeps.
	keepWindows = 6
	// usageTimeout bounds one write of counts, or one round of reports.
	usageTimeout = 600 * time.Millisecond
)

// Counts holds the number of requests by workspace.
type Counts map[string]int

// Reporter sends reports to the platform.
type Reporter interface {
	// Usage reports a window. It may be called again with the same counts.
	Usage(ctx context.Context, holder string, fence int64, window int64, c Counts) error
}

// Meter counts the requests that servers started to run, by usage reporting
// window. Use NewMeter. Its methods may be called from any goroutine.
type Meter struct {
	fleet  *fleet.State
	length time.Duration
	log    *zap.Logger
	self   string
	store  store.Store

	mutex   sync.Mutex
	windows map[int64]Counts
	changed bool
}

// NewMeter returns a Meter for windows of the given length.
func NewMeter(f *fleet.State, s store.Store, self string, length time.Duration, log *zap.Logger) *Meter {
	return &Meter{fleet: f, length: length, log: log, self: self, store: s, windows: make(map[int64]Counts)}
}

// Count adds a request that started the given duration ago.
func (m *Meter) Count(workspace string, ago time.Duration) {
	w := windowAt(m.fleet.TimeOfDay().Add(-ago), m.length)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.windows[w] == nil {
		m.windows[w] = make(Counts)
	}
	m.windows[w][workspace]++
	m.changed = true
}

// Serve writes the counts until the context ends.
func (m *Meter) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		fleet.Sleep(ctx, usageInterval)
		m.Flush(ctx)
	}
	return nil
}

// Flush writes the counts if they have changed.
func (m *Meter) Flush(ctx context.Context) {
	b, err := m.encode()
	if err != nil || b == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	_, err = m.store.Commit(ctx, store.Txn{Puts: []store.Row{{Key: store.Key{Table: usageTable, Part: usagePart(m.self), Name: m.self}, Value: b}}})
	if err != nil {
		m.log.Info("writing usage counts failed; retrying", zap.Error(err))
		m.mutex.Lock()
		m.changed = true
		m.mutex.Unlock()
	}
}

// encode returns the counts of the last keepWindows windows, or nil if no count
// has changed since the last call. It drops older windows.
func (m *Meter) encode() ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.changed {
		return nil, nil
	}
	m.changed = false
	oldest := windowAt(m.fleet.TimeOfDay(), m.length) - keepWindows
	for w := range m.windows {
		if w < oldest {
			delete(m.windows, w)
		}
	}
	b, err := msgpack.Marshal(m.windows)
	return b, errors.Wrap(err, "duty: usage")
}

// Usage reports the usage of each window while this daemon holds the duty. Use
// NewUsage.
type Usage struct {
	fleet       *fleet.State
	holder      Holder
	length      time.Duration
	reportDelay time.Duration
	log         *zap.Logger
	reporter    Reporter
	self        string
	store       store.Store
	// next is the first window that is not reported yet; 0 if unknown.
	next int64
}

// NewUsage returns a Usage for windows of the given length. Each report is due
// within reportDelay after the end of its window.
func NewUsage(f *fleet.State, s store.Store, r Reporter, h Holder, self string, length, reportDelay time.Duration, log *zap.Logger) *Usage {
	return &Usage{fleet: f, holder: h, length: length, reportDelay: reportDelay, log: log, reporter: r, self: self, store: s}
}

// Serve reports until the context ends.
func (u *Usage) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		fleet.Sleep(ctx, reportInterval)
		if _, err := u.holder.Check(); err != nil {
			u.next = 0
			continue
		}
		if err := u.reportDue(ctx); err != nil {
			u.log.Info("reporting usage failed; retrying", zap.Int64("Window", u.next), zap.Error(err))
		}
	}
	return nil
}

// reportDue reports all windows that are sealed or can be sealed and are not
// reported yet, in order.
func (u *Usage) reportDue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	now := u.fleet.TimeOfDay()
	if u.next == 0 {
		next, err := u.resume(ctx, now)
		if err != nil {
			return err
		}
		u.next = next
	}
	for {
		end := time.Unix(0, 0).Add(time.Duration(u.next+1) * u.length)
		if now.Sub(end) < sealAfter {
			return nil
		}
		counts, err := u.seal(ctx, u.next)
		if err != nil {
			return err
		}
		fence, err := u.holder.Check()
		if err != nil {
			return err
		}
		if err := u.reporter.Usage(ctx, u.self, fence, u.next, counts); err != nil {
			return err
		}
		u.log.Info("usage reported", zap.Int64("Window", u.next), zap.Int("Workspaces", len(counts)), zap.Int64("Fence", fence))
		u.next++
	}
}

// resume returns the first window to report. The newest sealed window is reported
// again, because its report may not have arrived.
func (u *Usage) resume(ctx context.Context, now time.Time) (int64, error) {
	oldest := windowAt(now.Add(-u.reportDelay), u.length)
	s, err := u.store.Read(ctx, store.Range{Table: sealTable, From: strconv.FormatInt(oldest, 10)})
	if err != nil {
		return 0, err
	}
	if len(s.Rows) == 0 {
		return oldest, nil
	}
	last, err := strconv.ParseInt(s.Rows[len(s.Rows)-1].Key.Name, 10, 64)
	return last, errors.Wrap(err, "duty: window")
}

// seal adds up the counts of a window and writes them, unless a daemon has done so
// already. It returns the counts that were written first.
func (u *Usage) seal(ctx context.Context, window int64) (Counts, error) {
	counts, err := u.sum(ctx, window)
	if err != nil {
		return nil, err
	}
	b, err := msgpack.Marshal(counts)
	if err != nil {
		return nil, errors.Wrap(err, "duty: seal")
	}
	key := store.Key{Table: sealTable, Name: strconv.FormatInt(window, 10)}
	s, err := u.store.Commit(ctx, store.Txn{Conditions: []store.Row{{Key: key}}, Puts: []store.Row{{Key: key, Value: b}}})
	if !errors.Is(err, store.ErrConflict) || len(s.Rows) == 0 {
		return counts, err
	}
	var sealed Counts
	return sealed, errors.Wrap(msgpack.Unmarshal(s.Rows[0].Value, &sealed), "duty: seal")
}

// sum returns the total counts of all daemons for a window.
func (u *Usage) sum(ctx context.Context, window int64) (Counts, error) {
	rows, err := u.counts(ctx)
	if err != nil {
		return nil, err
	}
	total := make(Counts)
	for _, r := range rows {
		var windows map[int64]Counts
		if err := msgpack.Unmarshal(r.Value, &windows); err != nil {
			return nil, errors.Wrapf(err, "duty: counts of %s", r.Key.Name)
		}
		for w, n := range windows[window] {
			total[w] += n
		}
	}
	return total, nil
}

// counts reads the counts of all daemons, from all parts that have some. Older builds
// write to a part without a name.
func (u *Usage) counts(ctx context.Context) ([]store.Row, error) {
	parts, err := store.AllParts(ctx, u.store, usageTable)
	if err != nil {
		return nil, err
	}
	snapshots := make([]store.Snapshot, len(parts))
	g, c := errgroup.WithContext(ctx)
	for i, part := range parts {
		g.Go(func() (err error) {
			snapshots[i], err = store.ReadAll(c, u.store, store.Range{Table: usageTable, Part: part})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var rows []store.Row
	for _, s := range snapshots {
		rows = append(rows, s.Rows...)
	}
	return rows, nil
}

// usagePart returns the part to which a daemon writes its counts.
func usagePart(self string) string {
	return "usage-" + strconv.FormatUint(xxhash.Sum64String(self)%usageParts, 10)
}

func windowAt(t time.Time, length time.Duration) int64 {
	return t.UnixNano() / int64(length)
}
