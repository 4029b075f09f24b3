package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time that the store takes for an answer, and txDelay what a
	// transaction takes in addition; one part runs its transactions one after another.
	storeDelay = 4 * time.Millisecond
	txDelay    = 5 * time.Millisecond
	// maxReadRows, maxReadSize in bytes, and maxParts bound one answer.
	maxReadRows = 500
	maxReadSize = 1 << 20
	maxParts    = 1000
)

type rowKey struct{ table, part, key string }

type rowJSON struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	start   time.Time

	mutex   sync.Mutex
	rows    map[rowKey]rowJSON
	history []rowJSON
	ver     int64
	// floor is the oldest version from which a feed can go on.
	floor   int64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// gone counts the answers that the history is no longer available.
	gone int
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), start: time.Now(), rows: make(map[rowKey]rowJSON),
		changed: make(chan struct{}), parts: make(map[string]*sync.Mutex),
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply([]rowJSON{{Table: table, Key: key, Value: b}}, nil)
}

// remove removes a row as the operator or a server does.
func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(nil, []rowJSON{{Table: table, Key: key}})
}

// forgetHistory writes a server's entry once more, which no feed hears, and drops the history:
// each feed must read its table again.
func (s *store) forgetHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, row := range s.rows {
		if k.table == "servers" {
			s.ver++
			row.Ver = s.ver
			s.rows[k] = row
			break
		}
	}
	s.history = nil
	s.floor = s.ver
	close(s.changed)
	s.changed = make(chan struct{})
}

// countParts returns the number of parts of a table.
func (s *store) countParts(table string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.partsOf(table))
}

func (s *store) goneAnswers() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.gone
}

func (s *store) apply(puts, removes []rowJSON) {
	s.ver++
	for _, p := range puts {
		p.Ver = s.ver
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, d := range removes {
		d.Ver, d.Removed, d.Value = s.ver, true, nil
		delete(s.rows, rowKey{d.Table, d.Part, d.Key})
		s.history = append(s.history, d)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) partsOf(table string) []string {
	seen := make(map[string]bool)
	for k := range s.rows {
		if k.table == table {
			seen[k.part] = true
		}
	}
	var out []string
	for p := range seen {
		out = append(out, p)
	}
	sort.Strings(out)
	return out
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/api/rows-tx":
		s.commit(w, r)
	case "/api/rows-get":
		s.get(w, r)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-parts":
		s.listParts(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = 50_000 + time.Since(s.start).Milliseconds()
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Remove []rowJSON }
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &t) != nil || len(b) > 4<<20 || len(t.Expected)+len(t.Puts)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := ""
	for _, e := range append(append(append([]rowJSON{}, t.Expected...), t.Puts...), t.Remove...) {
		part = e.Part
	}
	for _, e := range append(append([]rowJSON{}, t.Puts...), t.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	one := s.parts[part]
	s.mutex.Unlock()
	one.Lock()
	defer one.Unlock()
	time.Sleep(txDelay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, met := []rowJSON{}, true
	for _, e := range t.Expected {
		row, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		met = met && row.Ver == e.Ver
		if ok {
			current = append(current, row)
		}
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver})
		return
	}
	s.apply(t.Puts, t.Remove)
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxReadRows {
		limit = maxReadRows
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []rowJSON{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return strings.Compare(rows[i].Key, rows[j].Key) < 0 })
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) < maxReadSize) {
		size += len(rows[n].Value)
		n++
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:n], "ver": s.ver, "has_more": n < len(rows)})
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := s.partsOf(q.Get("table"))
	from := sort.SearchStrings(all, q.Get("after"))
	if from < len(all) && all[from] == q.Get("after") && q.Has("after") {
		from++
	}
	out := append([]string{}, all[from:min(len(all), from+maxParts)]...)
	s.answer(w, http.StatusOK, map[string]any{"parts": out, "ver": s.ver, "has_more": from+len(out) < len(all)})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mutex.Lock()
		if after < s.floor {
			s.gone++
			s.answer(w, http.StatusGone, map[string]any{"ver": s.ver})
			s.mutex.Unlock()
			return
		}
		rows := []rowJSON{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, h := range s.history[from:] {
			if h.Table == q.Get("table") {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 || over {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": s.ver})
			s.mutex.Unlock()
			return
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
