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

// patience is how long a caller waits for a whole answer.
const patience = 2 * time.Minute

// target returns how to ask one server.
func target(o Options, s netip.AddrPort) generate {
	if o.Direct {
		return engineTarget(o, s)
	}
	return daemonTarget(o, s)
}

func daemonTarget(o Options, s netip.AddrPort) generate {
	t := &http.Transport{MaxIdleConnsPerHost: o.Count}
	c := callerv1.NewGenerationServiceClient(&http.Client{Transport: t}, "http://"+s.String())
	return func(ctx context.Context, prompt string, arrived func(int)) error {
		q := connect.NewRequest(&callerv1.GenerateRequest{
			RequestId: uuid.NewString(),
			Pool:      string(o.Pool),
			Prompt:    prompt,
			MaxTokens: uint32(o.MaxTokens),
			Deadline:  timestamppb.New(time.Now().Add(patience)),
		})
		q.Header().Set("Authorization", "Bearer "+o.Key)
		stream, err := c.Generate(ctx, q)
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		whole := false
		for stream.Receive() {
			arrived(int(stream.Msg().GetTokens()))
			whole = stream.Msg().GetEnd()
		}
		if err := stream.Err(); err != nil {
			return err
		}
		if !whole {
			return engine.ErrTruncated
		}
		return nil
	}
}

func engineTarget(o Options, s netip.AddrPort) generate {
	e := engine.NewHTTP(s, nil)
	return func(ctx context.Context, prompt string, arrived func(int)) error {
		ctx, cancel := context.WithTimeout(ctx, patience)
		defer cancel()
		id := uuid.NewString()
		r := engine.Request{ID: fleet.RequestID(id), Attempt: id, Prompt: prompt, MaxTokens: o.MaxTokens}
		return e.Generate(ctx, r, func(c engine.Chunk) error {
			arrived(c.Tokens)
			return nil
		})
	}
}
