package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/store"
)

// evacuations holds the operators' rows that evacuate failure domains. Unlike an announced
// shutdown, an evacuation ends: when its row is removed, or is missing in a complete read.
// Reads may be applied in any order, because peers answer with older ones. The zero value is
// empty.
type evacuations struct {
	// rows contains the newest rows, by failure domain. Removed ones are kept while they are
	// newer than asOf.
	rows map[string]store.Row
	// asOf is the store's version up to which rows contains all changes.
	asOf int64
}

// evacuation returns the failure domain that a row evacuates; false if it is another row.
func (c Codec) evacuation(r store.Row) (string, bool) {
	if c.Evacuation == nil {
		return "", false
	}
	return c.Evacuation(r.Key.Name)
}

// apply applies what a read returned; rows are the evacuations in it, by failure domain.
func (e *evacuations) apply(rows map[string]store.Row, u Update) {
	if e.rows == nil {
		e.rows = make(map[string]store.Row)
	}
	for domain, r := range rows {
		if r.Version > max(e.rows[domain].Version, e.asOf) {
			e.rows[domain] = r
		}
	}
	if u.Complete {
		for domain, known := range e.rows {
			if _, ok := rows[domain]; !ok && known.Version <= u.Version {
				delete(e.rows, domain)
			}
		}
	}
	e.asOf = max(e.asOf, u.Version)
	for domain, r := range e.rows {
		if r.Removed && r.Version <= e.asOf {
			delete(e.rows, domain)
		}
	}
}

// domains returns the failure domains that are evacuated.
func (e *evacuations) domains() set.Set[string] {
	var out set.Set[string]
	for domain, r := range e.rows {
		if !r.Removed {
			out.Add(domain)
		}
	}
	return out
}

// Evacuated returns the failure domains to whose servers nothing may be sent.
func (f *State) Evacuated() set.Set[string] {
	if s := f.evacuated.Load(); s != nil {
		return *s
	}
	return set.Set[string]{}
}

// OnEvacuation adds a function that is called when an evacuation begins, and at each change
// of the servers while there is one. It must be called before the Serve methods, and the
// function must not block.
func (f *State) OnEvacuation(do func()) {
	f.onEvacuation = append(f.onEvacuation, do)
}

// notifyEvacuation calls the functions of OnEvacuation if a failure domain is evacuated.
func (f *State) notifyEvacuation() {
	if f.Evacuated().Len() == 0 {
		return
	}
	for _, do := range f.onEvacuation {
		do()
	}
}

// applyEvacuations applies the evacuations in what a read of the operators' table returned.
func (f *State) applyEvacuations(u Update) {
	rows := make(map[string]store.Row)
	for _, r := range u.Rows {
		if domain, ok := f.codec.evacuation(r); ok && r.Version >= rows[domain].Version {
			rows[domain] = r
		}
	}
	f.mutex.Lock()
	f.evacuations.apply(rows, u)
	before, now := f.Evacuated(), f.evacuations.domains()
	changed := !slices.Equal(set.Sorted(before), set.Sorted(now))
	if changed {
		f.evacuated.Store(&now)
		f.publishServers(time.Now())
	}
	f.mutex.Unlock()
	if !changed {
		return
	}
	f.logEvacuations("evacuation of a failure domain began", now, before)
	f.logEvacuations("evacuation of a failure domain ended", before, now)
	f.notifyEvacuation()
}

// logEvacuations logs an event for each failure domain that is in one set and not in another,
// with the number of its servers.
func (f *State) logEvacuations(event string, in, notIn set.Set[string]) {
	for _, domain := range set.Sorted(in) {
		if notIn.Contains(domain) {
			continue
		}
		n := 0
		for _, s := range f.Servers().List {
			if s.Domain == domain {
				n++
			}
		}
		f.log.Info(event, zap.String("Domain", domain), zap.Int("Servers", n))
	}
}

// markEvacuated returns the servers with those in some failure domains marked as evacuated.
func markEvacuated(s *Servers, domains set.Set[string]) *Servers {
	if domains.Len() == 0 {
		return s
	}
	marked := &Servers{List: make([]backend.Server, 0, len(s.List)), byID: s.byID}
	for _, v := range s.List {
		if domains.Contains(v.Domain) {
			v.Evacuated, v.Draining = true, true
		}
		marked.List = append(marked.List, v)
	}
	return marked
}
