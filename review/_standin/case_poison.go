package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonCase }

// poisonCase sends a request for a resumable stream that crashes each server that begins to
// run it, again and again, as its caller does. With KIND=safe, the route is a safe one.
func poisonCase(trouble bool) verdict {
	const (
		contact = 3 * time.Second
		// down is how long a crashed server is down.
		down = 4 * time.Second
		pace = 2 * time.Second
		more = 6
	)
	kind := "stream"
	if os.Getenv("KIND") == "safe" {
		kind = "safe"
	}
	routes := []route{{name: "r-1", prefix: "/vexo12/", kind: kind, service: "wuno96b", attempts: 2, timeoutMS: 10000, sloMS: 500, resumable: true}}
	d := newDeployment()
	type arrival struct {
		server, id string
		at         time.Time
	}
	var mutex sync.Mutex
	var arrivals, crashes []arrival
	plainServers(d, "wuno96b", 6, 6, func(s *server, r request) bool {
		if strings.HasSuffix(r.URL.Path, "/deadly") {
			mutex.Lock()
			arrivals = append(arrivals, arrival{s.name, r.id, time.Now()})
			if trouble {
				crashes = append(crashes, arrival{s.name, r.id, time.Now()})
			}
			mutex.Unlock()
			record("server", "%s begins to run %s", s.name, r.id)
			if trouble {
				record("server", "%s crashes", s.name)
				s.crash(down)
				return false
			}
		}
		return r.stream(s, 5, 20*time.Millisecond)
	})
	const key = "3d3zji9n73hh2b9wu3fe"
	d.store.put("op", "config", configuration(1, routes, []tenant{{"nowu640", []string{key}}}))
	d.start(3)
	ask := func(n int, target string) reply {
		id := newID()
		a := send(http.MethodPost, d.daemons[n%3].front, target, []byte("prompt"), 4*time.Second, "X-Lacewingtally-Request-Id", id, "X-Api-Key", key)
		record("request", "%s %s at %s: answer %d %v", id, target, d.daemons[n%3].name, a.status, a.err)
		return a
	}
	time.Sleep(contact)
	if a := ask(0, "/vexo12/good"); a.status != http.StatusOK {
		fatal("a sound stream is not served: %d %v", a.status, a.err)
	}
	var third time.Time
	retries := 0
	for n := 0; n < 40 && retries < more; n++ {
		before := time.Now()
		a := ask(n, "/vexo12/deadly")
		if !trouble && a.status == http.StatusOK && n >= 5 {
			break
		}
		mutex.Lock()
		if third.IsZero() && len(crashes) >= 3 {
			third = crashes[2].at
		}
		reached := len(arrivals) > 0 && !arrivals[len(arrivals)-1].at.Before(before)
		if !third.IsZero() && before.After(third.Add(contact)) && reached {
			retries++
		}
		mutex.Unlock()
		time.Sleep(pace)
		if time.Since(recorded.start) > 95*time.Second {
			break
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	return verdict{retries > 3, fmt.Sprintf("%d server crashes; %d retries of the caller reached servers later than contact_ms after the third crash", len(crashes), retries)}
}
