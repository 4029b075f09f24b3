package main

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	attempts                    int
	timeoutMS, sloMS            int
	resumable, public           bool
}

// tenant is a tenant with its keys.
type tenant struct {
	name string
	keys []string
}

// configuration returns a configuration in the operator's format.
func configuration(version int, routes []route, tenants []tenant) map[string]any {
	var rs, ts []any
	services := []any{}
	seen := make(map[string]bool)
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "route_kind": r.kind, "timeout_ms": r.timeoutMS, "slo_ms": r.sloMS,
			"priority": 2, "service": r.service, "max_attempts": r.attempts, "max_wait_s": 40.0, "due_ms": 7500,
			"single_version": false, "public": r.public, "sticky": r.kind == "rollout", "resumable": r.resumable,
		})
		if seen[r.service] {
			continue
		}
		seen[r.service] = true
		s := map[string]any{"name": r.service, "health_path": "/health", "max_conns": 160, "protocol": "h1", "tls": false}
		if r.kind == "rollout" {
			s["engine"] = map[string]any{"slots": 12, "kv_capacity": 38259, "stride": 1, "models": []any{map[string]any{"name": "m0"}}}
		}
		services = append(services, s)
	}
	for _, t := range tenants {
		keys := t.keys
		if keys == nil {
			keys = []string{}
		}
		ts = append(ts, map[string]any{"name": t.name, "api_keys": keys})
	}
	return map[string]any{
		"version": version, "routes": rs, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": ts,
	}
}

// plainServers starts servers of a plain service.
func plainServers(d *deployment, service string, count, slots int, handle func(*server, request) bool) []*server {
	zones := []string{"praha-a", "praha-b", "kladno"}
	var out []*server
	for i := range count {
		s, err := newServer(d.store, service+"-"+string(rune('a'+i)), service, zones[i%3], "", slots, handle)
		if err != nil {
			fatal("%v", err)
		}
		out = append(out, s)
	}
	return out
}
