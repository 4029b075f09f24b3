// Package trainer is a small stand-in for a trainer: it submits groups, fetches
// batches and publishes new weights.
package trainer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

const (
	fetchTimeout  = 20 * time.Second
	retryInterval = 500 * time.Millisecond
)

// Options configure a trainer.
type Options struct {
	// Servers are the daemons' addresses; calls go to them in turn.
	Servers []netip.AddrPort
	Key     string
	Name    string
	Pool    fleet.Pool
	// Steps is the number of batches to fetch, one per step.
	Steps int
	// Groups is the number of groups in a batch. Spare is the number of groups
	// that are submitted in addition at the first step.
	Groups int
	Spare  int
	// Samples is the number of samples in a group.
	Samples   int
	MaxTokens int
	// Prompt, if set, returns the prompt of a group.
	Prompt func(step, group int) string
	// Weights, if set, is the service to which the trainer publishes one version
	// per step.
	Weights weights.Service
	// FirstVersion is the weight version of the first step, at least 1.
	FirstVersion fleet.WeightVersion
	// Output receives one JSON line per batch; nil discards them.
	Output io.Writer
}

// StepResult is the line that a trainer writes for each batch.
type StepResult struct {
	Step      int
	Version   fleet.WeightVersion
	Samples   int
	Discarded int
	// Waited is how long the trainer was idle waiting for the batch.
	Waited   time.Duration
	Segments map[fleet.WeightVersion]int
	Repeated int
}

type trainer struct {
	options Options
	clients []callerv1.RolloutServiceClient
	calls   int
	version fleet.WeightVersion
	seen    map[string]bool
}

// Run trains for o.Steps steps or until the context ends. Failed calls are
// retried on the next daemon.
func Run(ctx context.Context, o Options) error {
	if len(o.Servers) == 0 {
		return errors.New("trainer: no servers")
	}
	if o.Output == nil {
		o.Output = io.Discard
	}
	t := &trainer{options: o, version: max(o.FirstVersion, 1), seen: make(map[string]bool)}
	c := &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Second}}
	defer c.CloseIdleConnections()
	for _, s := range o.Servers {
		t.clients = append(t.clients, callerv1.NewRolloutServiceClient(c, "http://"+s.String()))
	}
	for step := 1; step <= o.Steps; step++ {
		if err := t.step(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

func (t *trainer) step(ctx context.Context, step int) error {
	if err := t.publish(ctx); err != nil {
		return err
	}
	if err := t.submit(ctx, step); err != nil {
		return err
	}
	began := time.Now()
	b, err := t.fetch(ctx, step)
	if err != nil {
		return err
	}
	if err := t.print(step, b, time.Since(began)); err != nil {
		return err
	}
	err = t.retry(ctx, func(ctx context.Context, c callerv1.RolloutServiceClient) error {
		_, err := c.Acknowledge(ctx, request(t, &callerv1.AcknowledgeRequest{Trainer: t.options.Name, Cursor: uint64(step)}))
		return err
	})
	t.version++
	return err
}

func (t *trainer) fetch(ctx context.Context, step int) (*callerv1.FetchBatchResponse, error) {
	var b *callerv1.FetchBatchResponse
	err := t.retry(ctx, func(ctx context.Context, c callerv1.RolloutServiceClient) error {
		r, err := c.FetchBatch(ctx, request(t, &callerv1.FetchBatchRequest{
			Trainer: t.options.Name, Cursor: uint64(step), Groups: uint32(t.options.Groups),
			WeightVersion: uint64(t.version), Deadline: timestamppb.New(time.Now().Add(fetchTimeout)),
		}))
		if err == nil {
			b = r.Msg
		}
		return err
	})
	return b, err
}

func (t *trainer) print(step int, b *callerv1.FetchBatchResponse, waited time.Duration) error {
	l := StepResult{
		Step: step, Version: t.version, Samples: len(b.GetSamples()), Discarded: int(b.GetDiscarded()), Waited: waited,
		Segments: make(map[fleet.WeightVersion]int),
	}
	for _, s := range b.GetSamples() {
		if t.seen[s.GetSampleId()] {
			l.Repeated++
		}
		t.seen[s.GetSampleId()] = true
		for _, g := range s.GetSegments() {
			l.Segments[fleet.WeightVersion(g.GetWeightVersion())] += int(g.GetTokens())
		}
	}
	return errors.Wrap(json.NewEncoder(t.options.Output).Encode(l), "trainer: output")
}

func (t *trainer) prompt(step, group int) string {
	if t.options.Prompt != nil {
		return t.options.Prompt(step, group)
	}
	return fmt.Sprintf("Step %d, question %d.", step, group)
}

func (t *trainer) publish(ctx context.Context) error {
	if t.options.Weights == nil {
		return nil
	}
	w := weights.Weights{
		Pool: t.options.Pool, Version: t.version, Source: fmt.Sprintf("%s/%d", t.options.Pool, t.version),
	}
	for {
		err := t.options.Weights.Publish(ctx, w)
		if err == nil || errors.Is(err, weights.ErrNotNewer) {
			return err
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

// retry makes a call to one daemon after another until it succeeds or returns an
// error that a retry cannot change.
func (t *trainer) retry(ctx context.Context, call func(context.Context, callerv1.RolloutServiceClient) error) error {
	for {
		c := t.clients[t.calls%len(t.clients)]
		t.calls++
		err := call(ctx, c)
		switch connect.CodeOf(err) {
		case connect.CodeInvalidArgument, connect.CodeOutOfRange, connect.CodeUnauthenticated:
			return err
		}
		if err == nil {
			return nil
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

func (t *trainer) submit(ctx context.Context, step int) error {
	m := &callerv1.SubmitGroupsRequest{
		Trainer: t.options.Name, Pool: string(t.options.Pool), WeightVersion: uint64(t.version),
	}
	groups := t.options.Groups
	if step == 1 {
		groups += t.options.Spare
	}
	for g := range groups {
		m.Groups = append(m.Groups, &callerv1.Group{
			GroupId: fmt.Sprintf("%d-%d", step, g), Prompt: t.prompt(step, g),
			Samples: uint32(t.options.Samples), MaxTokens: uint32(t.options.MaxTokens),
		})
	}
	return t.retry(ctx, func(ctx context.Context, c callerv1.RolloutServiceClient) error {
		_, err := c.SubmitGroups(ctx, request(t, m))
		return err
	})
}

func request[T any](t *trainer, m *T) *connect.Request[T] {
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+t.options.Key)
	return r
}

func pause(ctx context.Context) error {
	t := time.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
