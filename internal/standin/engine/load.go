package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
)

// Errors of load orders.
var (
	errOldEpoch   = errors.New("engine: order has an old epoch")
	errSwapFailed = errors.New("engine: swap failed")
)

// Load executes an order to load weights. Repeating an executed order has no
// effect.
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
	f := e.takeFault("", true)
	time.Sleep(e.swapTime)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if f.Kind == FaultSwap {
		// A failed order may be sent again with the same ID.
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
