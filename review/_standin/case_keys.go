package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["keys"] = keysCase }

// keysCase takes away both keys of the only tenant, one after the other, and then sends
// requests with a key that was taken away, with one that never was in a configuration, and
// without a key.
func keysCase(trouble bool) verdict {
	const (
		firstKey, secondKey = "3d3zji9n73hh2b9wu3fe", "xd9dnn2ctnfzs989anu6"
		unknownKey          = "n0key0n0key0n0key000"
		gap                 = 1500 * time.Millisecond
		// configApply is the bound config_apply_ms, and wait what the case waits.
		configApply = 2 * time.Second
		wait        = 3 * configApply
	)
	routes := []route{{name: "r-1", prefix: "/lohu930/", kind: "safe", service: "wuno96b", attempts: 2, timeoutMS: 1500, sloMS: 150}}
	d := newDeployment()
	var mutex sync.Mutex
	ran := make(map[string]string)
	plainServers(d, "wuno96b", 3, 6, func(s *server, r request) bool {
		mutex.Lock()
		ran[r.id] = s.name + ", tenant \"" + r.Header.Get("X-Lacewingtally-Tenant") + "\""
		mutex.Unlock()
		time.Sleep(25 * time.Millisecond)
		return r.answer(http.StatusOK, "ok", "X-Lacewingtally-Server-Stamp", s.stamp(r))
	})
	d.store.put("op", "config", configuration(1, routes, []tenant{{"nowu640", []string{firstKey, secondKey}}}))
	d.start(3)
	count := make(map[string]int)
	ask := func(phase string, front *daemon, what, key string) (status int, run bool) {
		id := newID()
		headers := []string{"X-Lacewingtally-Request-Id", id}
		if key != "" {
			headers = append(headers, "X-Api-Key", key)
		}
		a := send(http.MethodPost, front.front, "/lohu930/2f", []byte("slot"), 1500*time.Millisecond, headers...)
		mutex.Lock()
		at, run := ran[id]
		mutex.Unlock()
		record("request", "%s, at %s, %s: answer %d, run at: %s", phase, front.name, what, a.status, at)
		if run {
			count[phase+", "+what]++
		}
		return a.status, run
	}
	for _, m := range d.daemons {
		if status, run := ask("before", m, "valid key", firstKey); status != http.StatusOK || !run {
			fatal("a request with a valid key is not served: %d", status)
		}
		ask("before", m, "key of no configuration", unknownKey)
		ask("before", m, "no key", "")
	}
	if trouble {
		d.store.put("op", "config", configuration(2, routes, []tenant{{"nowu640", []string{secondKey}}}))
		record("operator", "version 2: the first key is taken away")
		time.Sleep(gap)
		d.store.put("op", "config", configuration(3, routes, []tenant{{"nowu640", nil}}))
		record("operator", "version 3: the second key is taken away")
	} else {
		d.store.put("op", "config", configuration(2, routes, []tenant{{"nowu640", []string{firstKey, secondKey}}}))
		record("operator", "version 2: no key is taken away")
	}
	time.Sleep(wait)
	for range 3 {
		for _, m := range d.daemons {
			if trouble {
				ask("after", m, "key taken away", firstKey)
				ask("after", m, "key taken away", secondKey)
			} else {
				ask("after", m, "valid key", firstKey)
			}
			ask("after", m, "key of no configuration", unknownKey)
			ask("after", m, "no key", "")
		}
		time.Sleep(500 * time.Millisecond)
	}
	wrong := 0
	for what, n := range count {
		if what != "before, valid key" && what != "after, valid key" {
			wrong += n
		}
	}
	return verdict{wrong > 0, fmt.Sprintf("requests that ran: %v", count)}
}
