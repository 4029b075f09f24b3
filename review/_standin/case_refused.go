package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["refused"] = refusedCase }

// refusedCase sends requests that must not be repeated to servers that are full at times,
// while one of the two servers sends a second copy of some of its answers, late: at the
// point where the next answer on the connection is expected.
func refusedCase(trouble bool) verdict {
	const (
		length = 50 * time.Second
		// extraShare is the share of the answers that come a second time, during
		// extraLength out of each extraPeriod.
		extraShare  = 0.03
		extraLength = 5 * time.Second
		extraPeriod = 7 * time.Second
		daemons     = 9
		clients     = 18
		slots       = 2
		places      = 3
	)
	routes := []route{{name: "r-1", prefix: "/lohu930/", kind: "unsafe", service: "wuno96b", attempts: 2, timeoutMS: 1500, sloMS: 150}}
	d := newDeployment()
	var mutex sync.Mutex
	ran := make(map[string]int)
	refused := make(map[string]int)
	copies := 0
	answerBy := func(s *server, r request, status int, body string, headers ...string) bool {
		ok := r.answer(status, body, headers...)
		if trouble && time.Since(recorded.start)%extraPeriod < extraLength && s.name == "wuno96b-a" && rand.Float64() < extraShare {
			r.conn.late = r.conn.last
			mutex.Lock()
			copies++
			mutex.Unlock()
			record("server", "%s will send its answer %d to %s once more", s.name, status, r.id)
		}
		return ok
	}
	gates := make(map[string]chan struct{})
	for _, n := range []string{"wuno96b-a", "wuno96b-b"} {
		gates[n] = make(chan struct{}, slots)
	}
	plainServers(d, "wuno96b", 2, slots, func(s *server, r request) bool {
		if !s.take(places) {
			mutex.Lock()
			refused[r.id]++
			mutex.Unlock()
			return answerBy(s, r, http.StatusServiceUnavailable, "", "X-Lacewingtally-Not-Run", "1", "X-Lacewingtally-Server-Load", fmt.Sprintf("%d,%d,%d", slots, places-slots, slots))
		}
		defer s.release()
		gates[s.name] <- struct{}{}
		defer func() { <-gates[s.name] }()
		mutex.Lock()
		ran[r.id]++
		mutex.Unlock()
		time.Sleep(time.Duration(10+rand.IntN(30)) * time.Millisecond)
		return answerBy(s, r, http.StatusOK, "ok", "X-Lacewingtally-Server-Stamp", s.stamp(r))
	})
	const key = "3d3zji9n73hh2b9wu3fe"
	d.store.put("op", "config", configuration(1, routes, []tenant{{"nowu640", []string{key}}}))
	d.start(daemons)
	time.Sleep(3 * time.Second)
	answers := make(map[int]int)
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	wrong := make(map[string]bool)
	attempt := func(c int) reply {
		id := newID()
		a := send(http.MethodPost, d.daemons[c%daemons].front, "/lohu930/confirm", []byte("slot"), 1500*time.Millisecond,
			"X-Lacewingtally-Request-Id", id, "X-Api-Key", key)
		mutex.Lock()
		answers[a.status]++
		promise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if promise {
			wrong[id] = true
		}
		mutex.Unlock()
		return a
	}
	for c := range clients {
		wait.Go(func() {
			for time.Now().Before(end) {
				if a := attempt(c); a.status == http.StatusServiceUnavailable {
					after, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
					time.Sleep(time.Duration(after * float64(time.Second)))
					attempt(c + 1)
				}
				time.Sleep(time.Duration(rand.IntN(160)) * time.Millisecond)
			}
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	broken, twice := 0, 0
	mutex.Lock()
	defer mutex.Unlock()
	for id := range wrong {
		if ran[id] > 0 {
			broken++
			record("refused", "request %s was answered with a promise that it has not run, and ran %d times", id, ran[id])
		}
	}
	for id, n := range ran {
		if n > 1 {
			twice++
			record("twice", "request %s ran %d times", id, n)
		}
	}
	record("clients", "answers by status: %v", answers)
	return verdict{broken > 0 || twice > 0, fmt.Sprintf("%d requests ran, %d were refused by a server, %d answers came twice; %d ran although the client was told that they had not; %d ran more than once; answers %v",
		len(ran), len(refused), copies, broken, twice, answers)}
}
