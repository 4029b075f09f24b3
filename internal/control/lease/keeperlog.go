package lease

import (
	"go.uber.org/zap"
)

// logState logs the outcome of an action, if it differs from the last one: a failed call, an
// attempt to acquire the lease, or the holder that was read.
func (k *Keeper) logState(a ActionKind, err error) {
	k.mutex.Lock()
	r, version := k.lease.row, k.lease.version
	k.mutex.Unlock()
	holder := zap.String("Holder", r.Holder.String())
	row := []zap.Field{holder, zap.Uint64("Epoch", uint64(r.Epoch)), zap.Uint64("Version", version)}
	switch {
	case err != nil:
		k.logChange(a.String()+" failed", append(row, zap.Error(err))...)
	case a == Acquire:
		k.logChange("acquisition written", row...)
	case a == Read && r.Holder != k.self:
		k.logChange("held by "+r.Holder.String(), row...)
	}
}

// logChange logs the state of the lease if it differs from the one last logged.
func (k *Keeper) logChange(state string, fields ...zap.Field) {
	if state == k.logged {
		return
	}
	k.logged = state
	k.log.Info("lease state", append(fields, zap.String("Duty", string(k.duty.Name())), zap.String("State", state))...)
}
