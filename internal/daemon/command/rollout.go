package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// sample is a sample as printed.
type sample struct {
	Sample   string
	Group    string
	Text     string
	Segments []segment
}

// segment is a run of tokens of one weight version.
type segment struct {
	Version fleet.WeightVersion
	Tokens  uint32
}

// batch is a batch as printed.
type batch struct {
	Cursor    uint64
	Samples   []sample
	Discarded uint32
}

func (s *session) addRollout(a *kingpin.Application) {
	c := a.Command("rollout", "Have groups of samples generated, as a trainer does.")
	s.addSubmit(c)
	s.addFetch(c)
	s.addAcknowledge(c)
}

func (s *session) addAcknowledge(c *kingpin.CmdClause) {
	k := c.Command("acknowledge", "Say that batches up to and with a cursor were taken over.")
	m := &callerv1.AcknowledgeRequest{}
	k.Flag("trainer", "Name of the trainer.").Required().StringVar(&m.Trainer)
	k.Flag("cursor", "Number of the batch.").Required().Uint64Var(&m.Cursor)
	k.Action(func(*kingpin.ParseContext) error {
		r, err := callerRequest(s, m)
		if err != nil {
			return err
		}
		if _, err := s.rolloutService().Acknowledge(s.ctx, r); err != nil {
			return err
		}
		fmt.Fprintf(s.Stdout, "batch %d acknowledged\n", m.Cursor)
		return nil
	})
}

func (s *session) addFetch(c *kingpin.CmdClause) {
	f := c.Command("fetch", "Wait for a batch and print it.")
	m := &callerv1.FetchBatchRequest{}
	f.Flag("trainer", "Name of the trainer.").Required().StringVar(&m.Trainer)
	f.Flag("cursor", "Number of the batch, from 1.").Required().Uint64Var(&m.Cursor)
	f.Flag("groups", "Whole groups in the batch.").Required().Uint32Var(&m.Groups)
	f.Flag("weight-version", "Weight version that the trainer is at.").Required().Uint64Var(&m.WeightVersion)
	wait := f.Flag("deadline", "Longest time to wait.").Default(defaultDeadline).Duration()
	f.Action(func(*kingpin.ParseContext) error {
		return s.fetch(m, *wait)
	})
}

func (s *session) fetch(m *callerv1.FetchBatchRequest, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	d, _ := ctx.Deadline()
	m.Deadline = timestamppb.New(d)
	r, err := callerRequest(s, m)
	if err != nil {
		return err
	}
	a, err := s.rolloutService().FetchBatch(ctx, r)
	if err != nil {
		return err
	}
	b := newBatch(a.Msg)
	return s.print(b, func(w io.Writer) {
		fmt.Fprintf(w, "batch %d: %d samples, %d discarded as too old\n", b.Cursor, len(b.Samples), b.Discarded)
		table(w, func(w io.Writer) {
			row(w, "SAMPLE", "GROUP", "SEGMENTS (VERSION:TOKENS)")
			for _, x := range b.Samples {
				row(w, x.Sample, x.Group, segments(x.Segments))
			}
		})
	})
}

func (s *session) addSubmit(c *kingpin.CmdClause) {
	u := c.Command("submit", "Queue groups of samples, one group for each prompt.")
	m := &callerv1.SubmitGroupsRequest{}
	u.Flag("trainer", "Name of the trainer.").Required().StringVar(&m.Trainer)
	u.Flag("pool", "Pool of model engines.").Required().StringVar(&m.Pool)
	u.Flag("weight-version", "Weight version that the trainer is at.").Required().Uint64Var(&m.WeightVersion)
	samples := u.Flag("samples", "Samples in a group.").Default("4").Uint32()
	tokens := u.Flag("max-tokens", "Most tokens of a sample.").Default("32").Uint32()
	ids := u.Flag("group-id", "ID of a group, once for each prompt; chosen without it.").Strings()
	prompts := u.Arg("prompt", "Prompts.").Required().Strings()
	u.Action(func(*kingpin.ParseContext) error {
		for i, p := range *prompts {
			id := uuid.NewString()
			if i < len(*ids) {
				id = (*ids)[i]
			}
			m.Groups = append(m.Groups, &callerv1.Group{GroupId: id, Prompt: p, Samples: *samples, MaxTokens: *tokens})
		}
		r, err := callerRequest(s, m)
		if err != nil {
			return err
		}
		a, err := s.rolloutService().SubmitGroups(s.ctx, r)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.Stdout, "%d groups queued\n", a.Msg.GetAccepted())
		return nil
	})
}

func newBatch(m *callerv1.FetchBatchResponse) batch {
	b := batch{Cursor: m.GetCursor(), Discarded: m.GetDiscarded()}
	for _, x := range m.GetSamples() {
		p := sample{Sample: x.GetSampleId(), Group: x.GetGroupId(), Text: x.GetText()}
		for _, g := range x.GetSegments() {
			p.Segments = append(p.Segments, segment{Version: fleet.WeightVersion(g.GetWeightVersion()), Tokens: g.GetTokens()})
		}
		b.Samples = append(b.Samples, p)
	}
	return b
}

func segments(l []segment) string {
	texts := make([]string, 0, len(l))
	for _, g := range l {
		texts = append(texts, fmt.Sprintf("%d:%d", g.Version, g.Tokens))
	}
	return strings.Join(texts, " ")
}
