package rest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Empty is the empty body of a request or response.
type Empty struct{}

// Handle registers f for a path of mux. A body that cannot be read or decoded is
// answered with status 400. The text of an error listed in sentinels is returned
// to the client with status 409; ErrUnknown closes the connection without a
// response; every other error, such as ErrUnavailable, becomes status 503.
func Handle[I, O any](mux *http.ServeMux, path string, f func(context.Context, I) (O, error), sentinels ...error) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in I
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "body", http.StatusBadRequest)
			return
		}
		if err := json.Unmarshal(body, &in); err != nil {
			http.Error(w, "body", http.StatusBadRequest)
			return
		}
		out, err := f(r.Context(), in)
		if err != nil {
			writeError(w, err, sentinels)
			return
		}
		writeJSON(w, http.StatusOK, out)
	})
}

func writeError(w http.ResponseWriter, err error, sentinels []error) {
	for _, s := range sentinels {
		if errors.Is(err, s) {
			writeJSON(w, http.StatusConflict, errorBody{Error: s.Error()})
			return
		}
	}
	if errors.Is(err, ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client receives a truncated body; there is nothing else to do.
	_, _ = w.Write(b)
}
