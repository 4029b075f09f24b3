package proxy_test

import (
	"bytes"
	"encoding/base64"
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
	standservice "github.com/lacewingtally/lacewingtally/internal/standin/service"
)

// keyLocations are the parts of a request in which a caller may send its key,
// intended or not.
var keyLocations = []struct {
	name string
	put  func(r *http.Request)
}{
	{"bearer", func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) }},
	{"bearer in small letters", func(r *http.Request) { r.Header["Authorization"] = []string{"bearer  " + key} }},
	{"basic", func(r *http.Request) {
		r.Header.Add("Authorization", "Basic "+base64.StdEncoding.EncodeToString([]byte("u:"+key)))
	}},
	{"two bearers", func(r *http.Request) { r.Header["Authorization"] = []string{"Bearer " + key, "Bearer " + otherKey} }},
	{"api key", func(r *http.Request) { r.Header.Set("X-Api-Key", key) }},
	{"proxy", func(r *http.Request) { r.Header.Set("Proxy-Authorization", key) }},
	{"cookie", func(r *http.Request) { r.Header.Set("Cookie", "k="+key) }},
	{"token", func(r *http.Request) { r.Header.Set("X-Auth-Token", key) }},
	{"any header", func(r *http.Request) { r.Header.Set("X-Note", "of "+key+" mine") }},
	{"header name", func(r *http.Request) { r.Header.Set(key, "1") }},
	{"referer", func(r *http.Request) { r.Header.Set("Referer", "http://x/?key="+key) }},
	{"query", func(r *http.Request) { r.URL.RawQuery = "key=" + key }},
	{"query in capitals", func(r *http.Request) { r.URL.RawQuery = "KEY=" + key }},
	{"query escaped", func(r *http.Request) { r.URL.RawQuery = "a=1&%6bey=" + url.QueryEscape(key) }},
	{"other parameter", func(r *http.Request) { r.URL.RawQuery = "a=1&t=" + key }},
	{"parameter name", func(r *http.Request) { r.URL.RawQuery = key + "=1" }},
	{"path", func(r *http.Request) { r.URL.Path += "/" + key }},
	{"request ID", func(r *http.Request) { r.Header.Set("Request-Id", key) }},
	{"trailer", func(r *http.Request) { r.Trailer = http.Header{"X-Key": {key}} }},
}

// TestMatrixKeyIsNotForwarded sends a key in every location, on routes with and
// without keys, repeatable or not. The first server refuses the request, truncates
// its answer or answers another request, so that requests are sent again. No byte
// that the servers receive may contain the key.
func TestMatrixKeyIsNotForwarded(t *testing.T) {
	faults := []standservice.FaultKind{
		"", standservice.FaultRefuse, standservice.FaultCut, standservice.FaultCutBody, standservice.FaultWrongAttempt,
	}
	paths := []string{"/bookings", "/prices", "/open"}
	n := 0
	for _, p := range keyLocations {
		for _, fault := range faults {
			for _, path := range paths {
				synctest.Test(t, func(t *testing.T) { keyCell(t, path, fault, p.put) })
				n++
			}
		}
	}
	must.EqOp(t, len(keyLocations)*len(faults)*len(paths), n)
	t.Logf("%d cells", n)
}

func keyCell(t *testing.T, path string, fault standservice.FaultKind, put func(*http.Request)) {
	f := newFixture(t, fixtureOptions{services: 2})
	defer f.close()
	if fault != "" {
		f.services[0].SetFaults(standservice.Fault{Kind: fault, Count: 1})
	}
	r, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://daemon"+path, bytes.NewReader([]byte("two")))
	must.NoError(t, err)
	r.Header.Set("X-Api-Key", key)
	put(r)
	resp, err := f.client(0).Do(r)
	must.NoError(t, err)
	resp.Body.Close()
	for _, s := range f.services {
		for _, k := range []string{key, otherKey, base64.StdEncoding.EncodeToString([]byte("u:" + key))} {
			got := bytes.ToLower(s.Received())
			must.False(t, bytes.Contains(got, bytes.ToLower([]byte(k))), must.Sprintf("%s", got))
		}
	}
}

// TestKeyDeterminesWorkspace names another workspace in every header that might
// select one. The request must run for the workspace of the key.
func TestKeyDeterminesWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{services: 1})
		defer f.close()
		h := http.Header{
			"Lacewingtally-Workspace": {"caterers"},
			"X-Workspace":             {"caterers"},
			"X-Forwarded-User":        {"caterers"},
		}
		_, _, body := f.post(0, "/prices", "", "", h)
		must.EqOp(t, "run 1 for bakers of POST /prices: \n", body)
		// The same request ID in another workspace is a different request.
		status, _, _ := f.post(0, "/bookings", "id-1", "two", nil)
		must.EqOp(t, http.StatusOK, status)
		other := http.Header{"Authorization": {"Bearer " + otherKey}}
		_, _, body = f.post(0, "/bookings", "id-1", "two", other)
		must.EqOp(t, "run 2 for caterers of POST /bookings: two\n", body)
	})
}

// TestMovedKeyCutsStream moves a key to another workspace during a stream. The
// stream must end at once.
func TestMovedKeyCutsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{engines: 1, engine: []standengine.Option{standengine.WithTokensPerSecond(10)}})
		defer f.close()
		var moved time.Time
		_, err := f.generate(0, key, "ovens", func(m *callerv1.GenerateResponse) {
			if m.Offset != 4 {
				return
			}
			moved = time.Now()
			f.source.Change(func(s *view.State) {
				c := document()
				c.Keys[0].Workspace = "caterers"
				s.Config = config.NewSnapshot(c)
			})
		})
		must.EqOp(t, callerv1.Refusal_KIND_MAY_HAVE_RUN, refusalOf(t, err).Kind)
		must.EqOp(t, moved, time.Now())
	})
}
