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
	// repeatHeader is set to "true" by a caller that sends a request again. A
	// refusal then covers all calls with the request, not only the last one.
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

// responseHeader returns the response headers to forward to the caller.
func responseHeader(h http.Header) http.Header {
	named := connectionHeaders(h)
	out := make(http.Header, len(h))
	for k, v := range h {
		if !droppedResponseHeaders[k] && !named[k] {
			out[k] = v
		}
	}
	return out
}

// sanitizeHeader returns the request headers to forward to a backend server. It
// also drops every header whose value contains the key, and every header whose
// name contains it. Names are compared without case, because the HTTP library
// changes the case of header names.
func sanitizeHeader(h http.Header, key string) http.Header {
	named := connectionHeaders(h)
	out := make(http.Header, len(h))
	for k, v := range h {
		c := textproto.CanonicalMIMEHeaderKey(k)
		if droppedHeaders[c] || named[c] || strings.HasPrefix(c, reservedPrefix) || strings.HasPrefix(c, "X-Forwarded-") {
			continue
		}
		if containsKey(strings.ToLower(k), strings.ToLower(key)) || containsKey(strings.Join(v, ","), key) {
			continue
		}
		out[c] = v
	}
	return out
}

// sanitizeQuery returns the query without the parameters that contain a key, and
// without those that cannot be decoded.
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
	named := make(map[string]bool)
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(n))] = true
		}
	}
	return named
}

// containsKey reports whether text contains the key. It is false for an empty key.
func containsKey(text, key string) bool {
	return key != "" && strings.Contains(text, key)
}

// requestKey returns the key in the headers or the query of a request; empty
// means none.
func requestKey(r *http.Request) string {
	if k := headerKey(r.Header); k != "" {
		return k
	}
	return r.URL.Query().Get(keyParameter)
}

// headerKey returns the key in the headers; empty means none.
func headerKey(h http.Header) string {
	a := h.Get("Authorization")
	if len(a) > len(bearerPrefix) && strings.EqualFold(a[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(a[len(bearerPrefix):])
	}
	return h.Get(apiKeyHeader)
}
