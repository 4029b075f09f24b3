// Package operator implements the Connect service for operators.
package operator

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// defaultListLimit is the maximum number of revisions in the response to a
	// ListConfig request without a limit.
	defaultListLimit = 20
	// maxListLimit is the maximum number of revisions in one response.
	maxListLimit = 500
	// maxRequestBytes is the maximum size of a request, in bytes.
	maxRequestBytes = 8 << 20
)

// Confirmer waits for a revision to take effect. It returns the regions in which
// the revision is written but not known to be in effect.
type Confirmer interface {
	Confirm(ctx context.Context, r fleet.ConfigRevision) ([]fleet.Region, error)
}

// EventSource returns the events of all reachable daemons in one order, and the
// addresses of the daemons that did not answer.
type EventSource interface {
	Events(ctx context.Context, since time.Time, limit int) ([]timeline.Event, []netip.AddrPort)
}

// Handler implements operatorv1.OperatorServiceHandler.
type Handler struct {
	confirmer Confirmer
	events    EventSource
	recorder  timeline.Recorder
	status    StatusSource
	store     Store
}

// Store stores the revisions of the configuration. Its errors are those of
// config.Store.
type Store interface {
	Apply(ctx context.Context, base fleet.ConfigRevision, c config.Config, operator, reason string) (config.Config, error)
	Get(ctx context.Context, r fleet.ConfigRevision) (config.Config, error)
	Head(ctx context.Context) (fleet.ConfigRevision, error)
	List(ctx context.Context, after fleet.ConfigRevision, limit int) ([]config.Entry, error)
}

// Dependencies are the dependencies of a Handler. None may be nil.
type Dependencies struct {
	Confirmer Confirmer
	Events    EventSource
	Recorder  timeline.Recorder
	Status    StatusSource
	Store     Store
}

// New returns the path and the HTTP handler of the service. The handler admits
// only requests that carry the operators' key, which has the given hash.
func New(d Dependencies, keyHash string) (string, http.Handler) {
	h := &Handler{confirmer: d.Confirmer, events: d.Events, recorder: d.Recorder, status: d.Status, store: d.Store}
	return operatorv1.NewOperatorServiceHandler(h,
		connect.WithInterceptors(authenticator(keyHash)),
		connect.WithReadMaxBytes(maxRequestBytes))
}

// ApplyConfig implements operatorv1.OperatorServiceHandler. When the revision
// is written but its confirmation fails, the response lists the pending regions.
func (h *Handler) ApplyConfig(ctx context.Context, r *connect.Request[operatorv1.ApplyConfigRequest]) (*connect.Response[operatorv1.ApplyConfigResponse], error) {
	c, err := config.Parse([]byte(r.Msg.GetYaml()))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	base := fleet.ConfigRevision(r.Msg.GetBase())
	written, err := h.store.Apply(ctx, base, c, r.Msg.GetOperator(), r.Msg.GetReason())
	if err != nil {
		return nil, connectError(err)
	}
	pending, err := h.confirmer.Confirm(ctx, written.Revision)
	m := &operatorv1.ApplyConfigResponse{
		Revision: uint64(written.Revision),
		InForce:  err == nil && len(pending) == 0,
	}
	for _, p := range pending {
		m.PendingRegions = append(m.PendingRegions, string(p))
	}
	if m.InForce {
		h.recorder.Record(timeline.Event{
			Kind:     timeline.ConfigAccepted,
			Revision: written.Revision,
			Detail:   r.Msg.GetOperator() + ": " + r.Msg.GetReason(),
		})
	}
	return connect.NewResponse(m), nil
}

// GetConfig implements operatorv1.OperatorServiceHandler. Revision 0 requests the
// newest one.
func (h *Handler) GetConfig(ctx context.Context, r *connect.Request[operatorv1.GetConfigRequest]) (*connect.Response[operatorv1.GetConfigResponse], error) {
	n := fleet.ConfigRevision(r.Msg.GetRevision())
	if n == 0 {
		head, err := h.store.Head(ctx)
		if err != nil {
			return nil, connectError(err)
		}
		n = head
	}
	c, err := h.store.Get(ctx, n)
	if err != nil {
		return nil, connectError(err)
	}
	b, err := config.Marshal(c)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.GetConfigResponse{Revision: uint64(n), Yaml: string(b)}), nil
}

// GetStatus implements operatorv1.OperatorServiceHandler.
func (h *Handler) GetStatus(ctx context.Context, _ *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	return connect.NewResponse(statusMessage(h.status.Status(ctx))), nil
}

// ListConfig implements operatorv1.OperatorServiceHandler. It lists the newest
// revisions, newest first.
func (h *Handler) ListConfig(ctx context.Context, r *connect.Request[operatorv1.ListConfigRequest]) (*connect.Response[operatorv1.ListConfigResponse], error) {
	limit := fleet.ConfigRevision(min(r.Msg.GetLimit(), maxListLimit))
	if limit == 0 {
		limit = defaultListLimit
	}
	head, err := h.store.Head(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	entries, err := h.store.List(ctx, head-min(limit, head), int(limit))
	if err != nil {
		return nil, connectError(err)
	}
	m := &operatorv1.ListConfigResponse{}
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		m.Revisions = append(m.Revisions, &operatorv1.Revision{
			Revision: uint64(e.Revision),
			At:       timestamppb.New(e.At),
			Operator: e.Operator,
			Reason:   e.Reason,
		})
	}
	return connect.NewResponse(m), nil
}

// ListEvents implements operatorv1.OperatorServiceHandler.
func (h *Handler) ListEvents(ctx context.Context, r *connect.Request[operatorv1.ListEventsRequest]) (*connect.Response[operatorv1.ListEventsResponse], error) {
	var since time.Time
	if r.Msg.GetSince() != nil {
		since = r.Msg.GetSince().AsTime()
	}
	events, unreachable := h.events.Events(ctx, since, int(r.Msg.GetLimit()))
	m := &operatorv1.ListEventsResponse{}
	for _, e := range events {
		b, err := timeline.Encode(e)
		if err != nil {
			return nil, connectError(err)
		}
		m.Events = append(m.Events, string(b))
	}
	for _, u := range unreachable {
		m.Unreachable = append(m.Unreachable, u.String())
	}
	return connect.NewResponse(m), nil
}

// connectError returns err as a connect error. Errors of a Store get the code that
// fits them; all others get CodeInternal.
func connectError(err error) error {
	code := connect.CodeInternal
	for _, m := range []struct {
		sentinel error
		code     connect.Code
	}{
		{sentinel: config.ErrStaleBase, code: connect.CodeAborted},
		{sentinel: config.ErrInvalid, code: connect.CodeInvalidArgument},
		{sentinel: config.ErrNoReason, code: connect.CodeInvalidArgument},
		{sentinel: config.ErrNotFound, code: connect.CodeNotFound},
		{sentinel: config.ErrUnchanged, code: connect.CodeFailedPrecondition},
		{sentinel: table.ErrUnknown, code: connect.CodeUnknown},
		{sentinel: table.ErrUnavailable, code: connect.CodeUnavailable},
		{sentinel: context.DeadlineExceeded, code: connect.CodeDeadlineExceeded},
	} {
		if errors.Is(err, m.sentinel) {
			code = m.code
			break
		}
	}
	return connect.NewError(code, err)
}
