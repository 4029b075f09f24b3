package load

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// answerTimeout is how long a caller waits for a complete answer.
const answerTimeout = 2 * time.Minute

// newGenerator returns a function that requests answers from server s.
func newGenerator(o Options, s netip.AddrPort) generateFunc {
	if o.Direct {
		return newEngineGenerator(o, s)
	}
	return newDaemonGenerator(o, s)
}

func newDaemonGenerator(o Options, s netip.AddrPort) generateFunc {
	t := &http.Transport{MaxIdleConnsPerHost: o.Count}
	c := callerv1.NewGenerationServiceClient(&http.Client{Transport: t}, "http://"+s.String())
	return func(ctx context.Context, prompt string, onTokens func(int)) error {
		q := connect.NewRequest(&callerv1.GenerateRequest{
			RequestId: uuid.NewString(),
			Pool:      string(o.Pool),
			Prompt:    prompt,
			MaxTokens: uint32(o.MaxTokens),
			Deadline:  timestamppb.New(time.Now().Add(answerTimeout)),
		})
		q.Header().Set("Authorization", "Bearer "+o.Key)
		stream, err := c.Generate(ctx, q)
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		complete := false
		for stream.Receive() {
			onTokens(int(stream.Msg().GetTokens()))
			complete = stream.Msg().GetEnd()
		}
		if err := stream.Err(); err != nil {
			return err
		}
		if !complete {
			return engine.ErrTruncated
		}
		return nil
	}
}

func newEngineGenerator(o Options, s netip.AddrPort) generateFunc {
	e := engine.NewHTTP(s, nil)
	return func(ctx context.Context, prompt string, onTokens func(int)) error {
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		id := uuid.NewString()
		r := engine.Request{ID: fleet.RequestID(id), Attempt: id, Prompt: prompt, MaxTokens: o.MaxTokens}
		return e.Generate(ctx, r, func(c engine.Chunk) error {
			onTokens(c.Tokens)
			return nil
		})
	}
}
