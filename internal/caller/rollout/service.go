package rollout

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/batch"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// Service is the connect handler for trainers. Use NewService.
type Service struct {
	deps Dependencies
}

var _ callerv1.RolloutServiceHandler = (*Service)(nil)

// NewService returns the handler of one daemon.
func NewService(d Dependencies) *Service {
	return &Service{deps: d}
}

// Acknowledge implements callerv1.RolloutServiceHandler.
func (s *Service) Acknowledge(
	ctx context.Context, r *connect.Request[callerv1.AcknowledgeRequest],
) (*connect.Response[callerv1.AcknowledgeResponse], error) {
	t, err := s.trainer(r.Header().Get("Authorization"), r.Msg.GetTrainer())
	if err != nil {
		return nil, err
	}
	if err := s.deps.Ledger.Acknowledge(ctx, t, r.Msg.GetCursor()); err != nil {
		return nil, callError(err)
	}
	return connect.NewResponse(&callerv1.AcknowledgeResponse{}), nil
}

// FetchBatch implements callerv1.RolloutServiceHandler.
func (s *Service) FetchBatch(
	ctx context.Context, r *connect.Request[callerv1.FetchBatchRequest],
) (*connect.Response[callerv1.FetchBatchResponse], error) {
	if r.Msg.GetCursor() == 0 || r.Msg.GetGroups() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("cursor and groups begin at 1"))
	}
	deadline := time.Now().Add(defaultFetchTimeout)
	if d := r.Msg.GetDeadline(); d != nil {
		deadline = d.AsTime()
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		// The key is checked each time, since it may be withdrawn meanwhile.
		t, err := s.trainer(r.Header().Get("Authorization"), r.Msg.GetTrainer())
		if err != nil {
			return nil, err
		}
		b, err := s.fetch(ctx, t, r.Msg)
		if err == nil {
			return connect.NewResponse(batchMessage(b)), nil
		}
		if !errors.Is(err, batch.ErrNotFormed) {
			return nil, callError(err)
		}
		select {
		case <-ctx.Done():
			return nil, refusalError(refusal.NotRun(refusal.ReasonDeadline, time.Now().Add(retryAfter), nil))
		case <-poll.C:
		}
	}
}

// SubmitGroups implements callerv1.RolloutServiceHandler.
func (s *Service) SubmitGroups(
	ctx context.Context, r *connect.Request[callerv1.SubmitGroupsRequest],
) (*connect.Response[callerv1.SubmitGroupsResponse], error) {
	t, err := s.trainer(r.Header().Get("Authorization"), r.Msg.GetTrainer())
	if err != nil {
		return nil, err
	}
	pool := fleet.Pool(r.Msg.GetPool())
	if p, ok := s.deps.View.State().Config.Pool(pool); !ok || p.Protocol != config.ProtocolEngine {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("pool %q has no engines", pool))
	}
	var groups []batch.Group
	for _, g := range r.Msg.GetGroups() {
		groups = append(groups, batch.Group{
			ID: batch.GroupID(g.GetGroupId()), Pool: pool, Prompt: g.GetPrompt(),
			Samples: int(g.GetSamples()), MaxTokens: int(g.GetMaxTokens()),
		})
	}
	version := fleet.WeightVersion(r.Msg.GetWeightVersion())
	if _, err := s.deps.Ledger.Advance(ctx, t, pool, version); err != nil {
		return nil, callError(err)
	}
	if err := s.deps.Ledger.Submit(ctx, t, keyHash(r.Header().Get("Authorization")), groups); err != nil {
		return nil, submitError(err)
	}
	return connect.NewResponse(&callerv1.SubmitGroupsResponse{Accepted: uint32(len(groups))}), nil
}

// fetch returns the batch if it is formed or can be formed now.
func (s *Service) fetch(ctx context.Context, t batch.Trainer, m *callerv1.FetchBatchRequest) (batch.Batch, error) {
	version := fleet.WeightVersion(m.GetWeightVersion())
	if _, err := s.deps.Ledger.Advance(ctx, t, "", version); err != nil {
		return batch.Batch{}, err
	}
	lag := s.lag(t)
	b, err := s.deps.Ledger.Fetch(ctx, t, m.GetCursor(), lag)
	if errors.Is(err, batch.ErrNotFormed) {
		if err := s.form(ctx, t, m, lag); err != nil {
			return batch.Batch{}, err
		}
		b, err = s.deps.Ledger.Fetch(ctx, t, m.GetCursor(), lag)
	}
	if err != nil {
		return batch.Batch{}, err
	}
	s.deps.Events.Record(timeline.Event{
		Kind: timeline.BatchServed, Workspace: t.Workspace, Version: version,
		Detail: fmt.Sprintf("%s/%d: %d samples, %d past the bound", t.Name, b.Cursor, len(b.Samples), b.Discarded),
	})
	return b, nil
}

func (s *Service) form(ctx context.Context, t batch.Trainer, m *callerv1.FetchBatchRequest, lag uint64) error {
	stale, err := s.deps.Ledger.Form(ctx, t, m.GetCursor(), int(m.GetGroups()), lag)
	if stale > 0 {
		s.deps.Events.Record(timeline.Event{
			Kind: timeline.SampleDiscarded, Workspace: t.Workspace,
			Detail: fmt.Sprintf("%s: %d groups past the bound", t.Name, stale),
		})
	}
	if err != nil {
		return err
	}
	s.deps.Events.Record(timeline.Event{
		Kind: timeline.BatchFormed, Workspace: t.Workspace, Detail: fmt.Sprintf("%s/%d", t.Name, m.GetCursor()),
	})
	return nil
}

func (s *Service) lag(t batch.Trainer) uint64 {
	return uint64(max(0, s.deps.View.State().Config.Value(config.MaxVersionLag, t.Workspace)))
}

// trainer returns the named trainer in the workspace of the key.
func (s *Service) trainer(authorization, name string) (batch.Trainer, error) {
	state := s.deps.View.State()
	now := time.Now()
	if !state.Confirmed(now) {
		return batch.Trainer{}, refusalError(refusal.NotRun(refusal.ReasonUnconfirmed, now.Add(retryAfter), nil))
	}
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok {
		return batch.Trainer{}, refusalError(refusal.NotRun(refusal.ReasonKey, time.Time{}, nil))
	}
	w, ok := state.Config.Workspace(key)
	if !ok {
		return batch.Trainer{}, refusalError(refusal.NotRun(refusal.ReasonKey, time.Time{}, nil))
	}
	if name == "" {
		return batch.Trainer{}, connect.NewError(connect.CodeInvalidArgument, errors.New("trainer has no name"))
	}
	return batch.Trainer{Workspace: w, Name: name}, nil
}

// keyHash returns the hash of the key. The key itself is not stored.
func keyHash(authorization string) string {
	return config.HashKey(strings.TrimPrefix(authorization, bearerPrefix))
}

func batchMessage(b batch.Batch) *callerv1.FetchBatchResponse {
	r := &callerv1.FetchBatchResponse{Cursor: b.Cursor, Discarded: uint32(b.Discarded)}
	for _, s := range b.Samples {
		p := &callerv1.Sample{SampleId: string(s.ID), GroupId: string(s.Group), Text: s.Text}
		for _, g := range s.Segments {
			p.Segments = append(p.Segments, &callerv1.Segment{WeightVersion: uint64(g.Version), Tokens: uint32(g.Tokens)})
		}
		r.Samples = append(r.Samples, p)
	}
	return r
}
