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
	// bearerPrefix starts the value of an Authorization header with a key.
	bearerPrefix = "Bearer "
	// apiKeyHeader is the alternative header for a key.
	apiKeyHeader = "X-Api-Key"
	// keyParameter is the query parameter for a key.
	keyParameter = "key"
	// reservedPrefix starts the names of the headers that only the system may set.
	reservedPrefix = "Lacewingtally-"
	// repeatHeader has the value "true" in a request that the caller has sent
	// before. Its refusal is NotRun only if the earlier calls are known not to
	// have run either.
	repeatHeader = "Request-Repeat"
)

// droppedHeaders are the request headers that are not forwarded to a backend
// server: credentials, hop-by-hop headers, and those that the system sets itself.
var droppedHeaders = map[string]bool{
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

// droppedResponseHeaders are the response headers that are not forwarded to the
// caller: hop-by-hop headers, and those that would make a response look like a
// refusal of the system.
var droppedResponseHeaders = map[string]bool{
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

// responseHeader returns the response headers to forward to the caller. It drops
// droppedResponseHeaders and the headers listed in the Connection header.
func responseHeader(h http.Header) http.Header {
	listed := connectionHeaders(h)
	out := make(http.Header, len(h))
	for k, v := range h {
		if !droppedResponseHeaders[k] && !listed[k] {
			out[k] = v
		}
	}
	return out
}

// sanitizeHeader returns the request headers to forward to a backend server, under
// their canonical names. It drops droppedHeaders, the headers listed in the
// Connection header, those with reservedPrefix or X-Forwarded-, and every header
// whose name or value contains the key. Names are compared without case, because
// the HTTP library changes the case of header names.
func sanitizeHeader(h http.Header, key string) http.Header {
	listed := connectionHeaders(h)
	out := make(http.Header, len(h))
	for k, v := range h {
		c := textproto.CanonicalMIMEHeaderKey(k)
		if droppedHeaders[c] || listed[c] || strings.HasPrefix(c, reservedPrefix) || strings.HasPrefix(c, "X-Forwarded-") {
			continue
		}
		if containsKey(strings.ToLower(k), strings.ToLower(key)) || containsKey(strings.Join(v, ","), key) {
			continue
		}
		out[c] = v
	}
	return out
}

// sanitizeQuery returns the query without keyParameter, without the parameters
// whose name or value contains the key, and without those that cannot be decoded.
func sanitizeQuery(raw, key string) string {
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
		if err != nil || containsKey(n, key) || containsKey(v, key) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// connectionHeaders returns the names listed in the Connection header.
func connectionHeaders(h http.Header) map[string]bool {
	listed := make(map[string]bool)
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	return listed
}

// containsKey reports whether text contains the key. It is false for an empty key.
func containsKey(text, key string) bool {
	return key != "" && strings.Contains(text, key)
}

// requestKey returns the key in the headers of a request or else in its query;
// empty means none.
func requestKey(r *http.Request) string {
	if k := headerKey(r.Header); k != "" {
		return k
	}
	return r.URL.Query().Get(keyParameter)
}

// headerKey returns the key in the Authorization header or else in apiKeyHeader;
// empty means none.
func headerKey(h http.Header) string {
	a := h.Get("Authorization")
	if len(a) > len(bearerPrefix) && strings.EqualFold(a[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(a[len(bearerPrefix):])
	}
	return h.Get(apiKeyHeader)
}
