package proxy

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// compressMinimum is the size from which a message is compressed, in bytes: the
// chunks of a stream are far smaller and would only cost time.
const compressMinimum = 4 << 10

// spotTokens is the longest answer that spot servers may run for a live request.
const spotTokens = 512

// errArgument is the cause of a refusal of a malformed request.
var errArgument = errors.New("proxy: malformed request")

// GenerationHandler is the connect service of callers. Use
// NewGenerationHandler.
type GenerationHandler struct {
	generator gate.Generator
	options   Options
	running   *Running
}

// NewGenerationHandler returns a handler that generates by g and lets requests
// run by r. NewHTTPHandler mounts it.
func NewGenerationHandler(o Options, g gate.Generator, r *Running) *GenerationHandler {
	return &GenerationHandler{generator: g, options: o.complete(), running: r}
}

// NewHTTPHandler returns the path and the handler to mount h at.
func NewHTTPHandler(h *GenerationHandler) (string, http.Handler) {
	return callerv1.NewGenerationServiceHandler(h,
		connect.WithCompressMinBytes(compressMinimum), connect.WithReadMaxBytes(bodyLimit))
}

// Generate implements callerv1.GenerationServiceHandler.
func (h *GenerationHandler) Generate(
	ctx context.Context,
	r *connect.Request[callerv1.GenerateRequest],
	s *connect.ServerStream[callerv1.GenerateResponse],
) error {
	key := keyOfHeader(r.Header())
	ctx, t, err := h.running.Begin(ctx, key)
	if err != nil {
		h.options.record(timeline.Event{Kind: timeline.KeyRefused, Request: fleet.RequestID(r.Msg.RequestId), Detail: err.Error()})
		return ConnectError(time.Now(), err)
	}
	defer t.End()
	q, err := h.generation(r.Msg, t.Workspace, key)
	if err != nil {
		return ConnectError(time.Now(), err)
	}
	h.options.record(timeline.Event{Kind: timeline.RequestStarted, Request: q.ID, Workspace: q.Workspace})
	err = h.generator.Generate(ctx, q, func(c engine.Chunk) error {
		if err := t.Check(time.Now()); err != nil {
			return err
		}
		return s.Send(responseOf(c))
	})
	if err != nil {
		h.options.record(timeline.Event{Kind: timeline.RequestRefused, Request: q.ID, Workspace: q.Workspace, Detail: err.Error()})
		return ConnectError(time.Now(), err)
	}
	h.options.record(timeline.Event{Kind: timeline.RequestEnded, Request: q.ID, Workspace: q.Workspace})
	return nil
}

// generation checks a request. Its errors are *refusal.Error.
func (h *GenerationHandler) generation(m *callerv1.GenerateRequest, w fleet.Workspace, key string) (gate.Generation, error) {
	p, ok := h.options.Source.State().Config.Pool(fleet.Pool(m.Pool))
	if !ok || p.Protocol != config.ProtocolEngine {
		return gate.Generation{}, refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errArgument)
	}
	if m.MaxTokens == 0 || m.MaxTokens > tokenLimit || m.Offset > m.MaxTokens || len(m.RequestId) > idLimit {
		return gate.Generation{}, refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errArgument)
	}
	if holds(m.Prompt, key) || holds(m.Partial, key) || holds(m.RequestId, key) {
		return gate.Generation{}, refusal.NotRun(refusal.ReasonKey, time.Time{}, errArgument)
	}
	q := gate.Generation{
		ID:        fleet.RequestID(m.RequestId),
		Workspace: w,
		Pool:      p.Name,
		Class:     fleet.Live,
		Prompt:    m.Prompt,
		Partial:   m.Partial,
		Offset:    int(m.Offset),
		MaxTokens: int(m.MaxTokens),
		Seed:      m.Seed,
		// A reclaimed server costs a resume, which is short for a short answer.
		SpotAllowed: m.MaxTokens-m.Offset <= spotTokens,
	}
	if q.ID == "" {
		q.ID = fleet.RequestID(uuid.NewString())
	}
	if m.Deadline != nil {
		q.Deadline = m.Deadline.AsTime()
	}
	return q, nil
}

func responseOf(c engine.Chunk) *callerv1.GenerateResponse {
	return &callerv1.GenerateResponse{
		Offset:        uint32(c.Offset),
		Text:          c.Text,
		Tokens:        uint32(c.Tokens),
		WeightVersion: uint64(c.Version),
		End:           c.End,
	}
}
