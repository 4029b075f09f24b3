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

// compressMinBytes is the size from which a message is compressed. The chunks of
// a stream are far smaller; compressing them would only cost time.
const compressMinBytes = 4 << 10

// maxSpotTokens is the largest number of remaining tokens for which a live
// request may run on a spot server.
const maxSpotTokens = 512

// errMalformed is the cause of the refusal of a malformed request.
var errMalformed = errors.New("proxy: malformed request")

// GenerationHandler implements the connect service for callers. Use
// NewGenerationHandler.
type GenerationHandler struct {
	generator gate.Generator
	options   Options
	requests  *ActiveRequests
}

// NewGenerationHandler returns a handler that generates with g and registers its
// requests with r. Mount it with NewHTTPHandler.
func NewGenerationHandler(o Options, g gate.Generator, r *ActiveRequests) *GenerationHandler {
	return &GenerationHandler{generator: g, options: o.withDefaults(), requests: r}
}

// NewHTTPHandler returns the path to mount h at and the handler to mount there.
func NewHTTPHandler(h *GenerationHandler) (string, http.Handler) {
	return callerv1.NewGenerationServiceHandler(h,
		connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(bodyLimit))
}

// Generate implements callerv1.GenerationServiceHandler.
func (h *GenerationHandler) Generate(
	ctx context.Context,
	r *connect.Request[callerv1.GenerateRequest],
	s *connect.ServerStream[callerv1.GenerateResponse],
) error {
	key := headerKey(r.Header())
	ctx, a, err := h.requests.Begin(ctx, key)
	if err != nil {
		h.options.record(timeline.Event{Kind: timeline.KeyRefused, Request: fleet.RequestID(r.Msg.RequestId), Detail: err.Error()})
		return ConnectError(time.Now(), err)
	}
	defer a.End()
	g, err := h.parse(r.Msg, a.Workspace, key)
	if err != nil {
		return ConnectError(time.Now(), err)
	}
	h.options.record(timeline.Event{Kind: timeline.RequestStarted, Request: g.ID, Workspace: g.Workspace})
	err = h.generator.Generate(ctx, g, func(c engine.Chunk) error {
		if err := a.Check(time.Now()); err != nil {
			return err
		}
		return s.Send(newResponse(c))
	})
	if err != nil {
		h.options.record(timeline.Event{Kind: timeline.RequestRefused, Request: g.ID, Workspace: g.Workspace, Detail: err.Error()})
		return ConnectError(time.Now(), err)
	}
	h.options.record(timeline.Event{Kind: timeline.RequestEnded, Request: g.ID, Workspace: g.Workspace})
	return nil
}

// parse validates a request and converts it. Its errors are *refusal.Error.
func (h *GenerationHandler) parse(m *callerv1.GenerateRequest, w fleet.Workspace, key string) (gate.Generation, error) {
	p, ok := h.options.Source.State().Config.Pool(fleet.Pool(m.Pool))
	if !ok || p.Protocol != config.ProtocolEngine {
		return gate.Generation{}, refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errMalformed)
	}
	if m.MaxTokens == 0 || m.MaxTokens > tokenLimit || m.Offset > m.MaxTokens || len(m.RequestId) > idLimit {
		return gate.Generation{}, refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errMalformed)
	}
	if containsKey(m.Prompt, key) || containsKey(m.Partial, key) || containsKey(m.RequestId, key) {
		return gate.Generation{}, refusal.NotRun(refusal.ReasonKey, time.Time{}, errMalformed)
	}
	g := gate.Generation{
		ID:        fleet.RequestID(m.RequestId),
		Workspace: w,
		Pool:      p.Name,
		Class:     fleet.Live,
		Prompt:    m.Prompt,
		Partial:   m.Partial,
		Offset:    int(m.Offset),
		MaxTokens: int(m.MaxTokens),
		Seed:      m.Seed,
		// If the spot server is reclaimed, the answer is resumed on another
		// server, which is cheap for a short answer.
		SpotAllowed: m.MaxTokens-m.Offset <= maxSpotTokens,
	}
	if g.ID == "" {
		g.ID = fleet.RequestID(uuid.NewString())
	}
	if m.Deadline != nil {
		g.Deadline = m.Deadline.AsTime()
	}
	return g, nil
}

func newResponse(c engine.Chunk) *callerv1.GenerateResponse {
	return &callerv1.GenerateResponse{
		Offset:        uint32(c.Offset),
		Text:          c.Text,
		Tokens:        uint32(c.Tokens),
		WeightVersion: uint64(c.Version),
		End:           c.End,
	}
}
