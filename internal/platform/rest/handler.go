package rest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Nothing is the request or answer of a call that has none.
type Nothing struct{}

// Handle serves a path of mux with f. An error that is one of known is named to
// the client; ErrUnavailable becomes status 503; ErrUnknown breaks the
// connection, so that the client has no answer.
func Handle[I, O any](mux *http.ServeMux, path string, f func(context.Context, I) (O, error), known ...error) {
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
			writeError(w, err, known)
			return
		}
		writeJSON(w, http.StatusOK, out)
	})
}

func writeError(w http.ResponseWriter, err error, known []error) {
	for _, k := range known {
		if errors.Is(err, k) {
			writeJSON(w, http.StatusConflict, failure{Error: k.Error()})
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
	// The client sees a broken body; there is nobody else to tell.
	_, _ = w.Write(b)
}
