package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["twice"] = twiceCase }

// twiceCase sends requests that must not be repeated, without a body and with an
// Idempotency-Key header (another one with HEADER=0), while half of the servers lose the
// answers of some requests.
func twiceCase(trouble bool) verdict {
	const (
		// lostShare is the share of the answers that one of two servers loses, from lossBegin
		// on for lossLength.
		lostShare  = 0.05
		lossBegin  = 2 * time.Second
		lossLength = 4 * time.Second
		length     = 8 * time.Second
		clients    = 3
	)
	routes := []route{{name: "r-1", prefix: "/lohu930/", kind: "unsafe", service: "wuno96b", attempts: 2, timeoutMS: 1500, sloMS: 150}}
	d := newDeployment()
	var mutex sync.Mutex
	ran := make(map[string][]string)
	lost := make(map[string]int)
	var begun time.Time
	plainServers(d, "wuno96b", 2, 6, func(s *server, r request) bool {
		mutex.Lock()
		ran[r.id] = append(ran[r.id], s.name)
		at := time.Since(begun)
		drop := trouble && lossBegin <= at && at < lossBegin+lossLength && s.name == "wuno96b-a" && rand.Float64() < lostShare
		if drop {
			lost[r.id]++
		}
		mutex.Unlock()
		time.Sleep(25 * time.Millisecond)
		if drop {
			record("server", "%s ran %s, and its answer is lost with its connection", s.name, r.id)
			if c, ok := r.conn.Conn.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			return false
		}
		return r.answer(http.StatusOK, "ok", "X-Lacewingtally-Server-Stamp", s.stamp(r))
	})
	const key = "3d3zji9n73hh2b9wu3fe"
	d.store.put("op", "config", configuration(1, routes, []tenant{{"nowu640", []string{key}}}))
	d.start(3)
	time.Sleep(3 * time.Second)
	mutex.Lock()
	begun = time.Now()
	mutex.Unlock()
	answers := make(map[int]int)
	header := "Idempotency-Key"
	if os.Getenv("HEADER") == "0" {
		header = "X-Other-Key"
	}
	var wait sync.WaitGroup
	for c := range clients {
		wait.Go(func() {
			for time.Since(begun) < length {
				id := newID()
				a := send(http.MethodPost, d.daemons[c].front, "/lohu930/confirm?slot="+id, nil, 1500*time.Millisecond,
					"X-Lacewingtally-Request-Id", id, "X-Api-Key", key, header, id)
				mutex.Lock()
				answers[a.status]++
				mutex.Unlock()
			}
		})
	}
	wait.Wait()
	twice := 0
	for id, servers := range ran {
		if len(servers) > 1 {
			twice++
			record("twice", "request %s ran %d times, at %v", id, len(servers), servers)
		}
	}
	record("clients", "answers by status: %v", answers)
	return verdict{twice > 0, fmt.Sprintf("%d requests ran; the answers of %d were lost; %d ran more than once; answers %v", len(ran), len(lost), twice, answers)}
}
