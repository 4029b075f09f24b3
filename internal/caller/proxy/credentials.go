package proxy

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/backend/service"
)

const (
	// bearer begins the value of an Authorization header with a key.
	bearer = "Bearer "
	// keyHeader is the other header that may hold a key.
	keyHeader = "X-Api-Key"
	// keyParameter is the query parameter that may hold a key.
	keyParameter = "key"
	// ownPrefix begins the headers that only the system may set.
	ownPrefix = "Lacewingtally-"
	// repeatHeader is set to "true" by a caller that sends a request again: a
	// refusal then speaks of all its calls, not of the last one alone.
	repeatHeader = "Request-Repeat"
)

// dropped are the headers that do not travel to a backend server: credentials,
// what concerns one connection, and what the system sets itself.
var dropped = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Cookie":              true,
	"Cookie2":             true,
	"Expect":              true,
	"Forwarded":           true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Www-Authenticate":    true,
	"X-Access-Token":      true,
	"X-Api-Key":           true,
	"X-Auth-Token":        true,
	"X-Real-Ip":           true,
	"X-Workspace":         true,

	repeatHeader:          true,
	service.AttemptHeader: true,
	service.RequestHeader: true,
}

// answerDropped are the headers of an answer that concern one connection, and
// those that would make it look like a refusal of the system.
var answerDropped = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,

	exchange.NotRunHeader: true,
	kindHeader:            true,
	service.AttemptHeader: true,
}

// answerHeader returns the headers of an answer that travel to the caller.
func answerHeader(h http.Header) http.Header {
	named := connectionNamed(h)
	out := make(http.Header, len(h))
	for k, v := range h {
		if !answerDropped[k] && !named[k] {
			out[k] = v
		}
	}
	return out
}

// cleanHeader returns the headers that travel to a backend server. One whose
// value holds the key is left out, whatever its name, and so is one whose name
// does, of which the HTTP library has changed the case.
func cleanHeader(h http.Header, key string) http.Header {
	named := connectionNamed(h)
	out := make(http.Header, len(h))
	for k, v := range h {
		c := textproto.CanonicalMIMEHeaderKey(k)
		if dropped[c] || named[c] || strings.HasPrefix(c, ownPrefix) || strings.HasPrefix(c, "X-Forwarded-") {
			continue
		}
		if holds(strings.ToLower(k), strings.ToLower(key)) || holds(strings.Join(v, ","), key) {
			continue
		}
		out[c] = v
	}
	return out
}

// cleanQuery returns the query without keys.
func cleanQuery(raw, key string) string {
	if raw == "" {
		return ""
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		name, value, _ := strings.Cut(part, "=")
		n, err := url.QueryUnescape(name)
		if err != nil || strings.EqualFold(n, keyParameter) {
			continue
		}
		v, err := url.QueryUnescape(value)
		if err != nil || holds(n, key) || holds(v, key) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// connectionNamed returns the headers that Connection names.
func connectionNamed(h http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	return named
}

// holds reports whether a text holds the key.
func holds(text, key string) bool {
	return key != "" && strings.Contains(text, key)
}

// keyOf returns the key that came with a request; empty is none.
func keyOf(r *http.Request) string {
	if k := keyOfHeader(r.Header); k != "" {
		return k
	}
	return r.URL.Query().Get(keyParameter)
}

// keyOfHeader returns the key in the headers; empty is none.
func keyOfHeader(h http.Header) string {
	a := h.Get("Authorization")
	if len(a) > len(bearer) && strings.EqualFold(a[:len(bearer)], bearer) {
		return strings.TrimSpace(a[len(bearer):])
	}
	return h.Get(keyHeader)
}
