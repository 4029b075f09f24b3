package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
)

// Errors of an order.
var (
	errOldEpoch   = errors.New("engine: epoch is old")
	errSwapFailed = errors.New("engine: swap failed")
)

// Load swaps the weights as an order says.
func (e *Engine) Load(o engine.LoadOrder) error {
	e.mutex.Lock()
	if e.fenced && o.Epoch < e.epoch {
		e.mutex.Unlock()
		return errOldEpoch
	}
	e.epoch = max(e.epoch, o.Epoch)
	err, done := e.orders[o.ID]
	e.mutex.Unlock()
	if done {
		return err
	}
	f := e.take("", true)
	time.Sleep(e.swap)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if f.Kind == FaultSwap {
		// An order that failed may be given again under its ID.
		return errSwapFailed
	}
	e.version = o.Version
	e.orders[o.ID] = nil
	return nil
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o engine.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	switch err := e.Load(o); {
	case errors.Is(err, errOldEpoch):
		refuse(w, http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
