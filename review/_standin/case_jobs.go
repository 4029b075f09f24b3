package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["jobs"] = jobsCase }

// runs records at which servers items are.
type runs struct {
	sync.Mutex
	begun    map[string]time.Time
	finished map[string]time.Time
	now      map[string]int
	left     map[string]time.Time
	starts   int
}

func (r *runs) begin(id string) {
	r.Lock()
	defer r.Unlock()
	if r.begun[id].IsZero() {
		r.begun[id] = time.Now()
	}
	r.now[id]++
	r.starts++
}

func (r *runs) end(id string, complete bool) {
	r.Lock()
	defer r.Unlock()
	r.now[id]--
	r.left[id] = time.Now()
	if complete && r.finished[id].IsZero() {
		r.finished[id] = time.Now()
	}
}

type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"token_count"`
	Group   string            `json:"group"`
}

// job is a batch job as its client knows it.
type job struct {
	id      string
	items   []jobItem
	sentAt  time.Time
	results map[string]string
}

const (
	jobKey    = "3d3zji9n73hh2b9wu3fe"
	jobPrefix = "/pufi791/"
)

func newJob(step, groups, perGroup int) *job {
	j := &job{id: newID(), results: make(map[string]string)}
	for g := range groups {
		for range perGroup {
			j.items = append(j.items, jobItem{
				ID: newID(), Path: jobPrefix + "3/91c4", Body: base64.StdEncoding.EncodeToString([]byte("prompt")), Tokens: 300,
				Headers: map[string]string{"X-Lacewingtally-Model": "m0", "X-Lacewingtally-Token-Usage": "276,22", "X-Lacewingtally-Prompt-Prefix": "9c2e41:255,5d07b8:21"},
				Group:   fmt.Sprintf("g%d-%d", step, g),
			})
		}
	}
	return j
}

// submit submits the job, at another daemon after each failure.
func (j *job) submit(d *deployment, first, step int) bool {
	groups := make(map[string]bool)
	for _, i := range j.items {
		groups[i.Group] = true
	}
	b, err := json.Marshal(map[string]any{"step": step, "model": "m0", "min_version": 1, "desired": len(groups), "requests": j.items})
	if err != nil {
		panic(err)
	}
	j.sentAt = time.Now()
	for n := range 4 {
		a := send(http.MethodPost, d.daemons[(first+n)%len(d.daemons)].front, jobPrefix+j.id, b, 4*time.Second,
			"X-Lacewingtally-Request-Id", j.id, "X-Api-Key", jobKey, "Content-Type", "application/json")
		if a.status == http.StatusAccepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// read reads results until the job is complete or the time is up.
func (j *job) read(d *deployment, first int, until time.Time) bool {
	for n := first; time.Now().Before(until); n++ {
		a := send(http.MethodGet, d.daemons[n%len(d.daemons)].front, fmt.Sprintf("/api/lots/%s?after=%d", j.id, len(j.results)), nil, 2500*time.Millisecond,
			"X-Api-Key", jobKey, "X-Lacewingtally-Wait-Ms", "1000")
		var r struct {
			Total   int
			Results []struct{ ID, State string }
		}
		if a.status == http.StatusOK && json.Unmarshal(a.body, &r) == nil {
			for _, x := range r.Results {
				j.results[x.ID] = x.State
			}
			if len(j.results) == len(j.items) {
				return true
			}
			continue
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// end ends the job.
func (j *job) end(d *deployment, first int) bool {
	for n := range 4 {
		a := send(http.MethodDelete, d.daemons[(first+n)%len(d.daemons)].front, "/api/lots/"+j.id, nil, 2*time.Second, "X-Api-Key", jobKey)
		if a.status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// jobsCase runs and ends some hundred small batch jobs, whose results the system must keep
// for status_s, stops and starts the daemons in turn, and then submits further steps. With
// DISRUPTION=platform_compact, the store discards its history instead.
func jobsCase(trouble bool) verdict {
	const (
		// earlier is the number of earlier jobs: 8 trainers with a job each 4 s submit 300 in
		// the 150 s for which the system keeps a job (status_s and 30 s).
		earlier = 300
		clients = 8
		steps   = 3
		// contact, deadline and unserved are contact_ms, a client's deadline and the rule's
		// 5 s.
		contact  = 3 * time.Second
		deadline = 12 * time.Second
		unserved = 5 * time.Second
		// gap is the pause between two restarts, and grace is grace_s.
		gap   = 1300 * time.Millisecond
		grace = 8 * time.Second
	)
	routes := []route{{name: "r-1", prefix: jobPrefix, kind: "rollout", service: "huvo11a", attempts: 3, timeoutMS: 10000, sloMS: 500, resumable: true}}
	d := newDeployment()
	r := &runs{begun: make(map[string]time.Time), finished: make(map[string]time.Time), now: make(map[string]int), left: make(map[string]time.Time)}
	engine := func(s *server, q request) bool {
		if !s.take(s.slots) {
			return q.answer(http.StatusServiceUnavailable, "", "X-Lacewingtally-Not-Run", "1")
		}
		defer s.release()
		r.begin(q.id)
		ok := q.stream(s, 22, 20*time.Millisecond)
		r.end(q.id, ok)
		return ok
	}
	zones := []string{"praha-a", "praha-b", "kladno"}
	for i := range 9 {
		if _, err := newServer(d.store, fmt.Sprintf("engine-%d", i), "huvo11a", zones[i%3], "m0", 12, engine); err != nil {
			fatal("%v", err)
		}
	}
	d.store.put("op", "config", configuration(1, routes, []tenant{{"nowu640", []string{jobKey}}}))
	d.start(3)
	begun := time.Now()
	var wait sync.WaitGroup
	var mutex sync.Mutex
	done := 0
	for c := range clients {
		wait.Go(func() {
			for n := range earlier / clients {
				j := newJob(n, 1, 1)
				if !j.submit(d, c+n, n) || !j.read(d, c+n, time.Now().Add(deadline)) || !j.end(d, c+n) {
					record("earlier", "job %s: accepted or complete or ended too late", j.id)
					continue
				}
				mutex.Lock()
				done++
				mutex.Unlock()
			}
		})
	}
	wait.Wait()
	record("earlier", "%d of %d earlier jobs of one item each accepted, complete and ended in %.1f s; the store has %d jobs",
		done, earlier, time.Since(begun).Seconds(), d.store.countParts("jobs"))
	if done < earlier*9/10 || time.Since(begun) > 70*time.Second {
		fatal("the earlier jobs did not complete: %d of %d", done, earlier)
	}
	time.Sleep(time.Second)
	switch {
	case trouble && os.Getenv("DISRUPTION") == "platform_compact":
		d.store.forgetHistory()
		record("store", "the history is discarded")
	case trouble:
		for _, m := range d.daemons {
			record("platform", "%s gets SIGTERM", m.name)
			_ = m.command.Process.Signal(syscall.SIGTERM)
			select {
			case <-m.ended:
			case <-time.After(grace):
				m.kill()
			}
			d.run(m)
			m.awaitReady()
			record("platform", "%s is ready again", m.name)
			time.Sleep(gap)
		}
	}
	time.Sleep(2 * contact)
	record("store", "answers 410 so far: %d", d.store.goneAnswers())
	lost := 0
	var lines []string
	for n := range steps {
		j := newJob(1000+n, 3, 8)
		if !j.submit(d, n, 1000+n) {
			record("step", "step %d is not accepted", n)
			continue
		}
		record("step", "step %d, job %s of %d items: 202 at %s or later", n, j.id, len(j.items), d.daemons[n%len(d.daemons)].name)
		complete := j.read(d, n, j.sentAt.Add(deadline))
		end := j.sentAt.Add(deadline)
		if complete {
			end = time.Now()
		}
		var never, begunItems []string
		r.Lock()
		for _, i := range j.items {
			switch {
			case r.begun[i.ID].IsZero():
				never = append(never, i.ID)
			case r.begun[i.ID].Before(end):
				begunItems = append(begunItems, i.ID)
			}
		}
		r.Unlock()
		sort.Strings(never)
		record("step", "step %d after %.1f s: complete: %t; %d results read, %d items begun at servers, %d never at a server: %v", n,
			time.Since(j.sentAt).Seconds(), complete, len(j.results), len(begunItems), len(never), never)
		if !complete && len(never) > 0 && len(begunItems) > 0 && deadline > unserved {
			lost++
		}
		lines = append(lines, fmt.Sprintf("step %d: %d of %d items never at a server", n, len(never), len(j.items)))
		if !j.end(d, n) {
			record("step", "step %d: end not acknowledged", n)
		}
	}
	return verdict{lost > 0, fmt.Sprintf("%d of %d steps ran out of time with items that no server got; %v", lost, steps, lines)}
}
