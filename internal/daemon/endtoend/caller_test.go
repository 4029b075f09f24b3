package endtoend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/standin/engine"
)

// errTruncated is returned when a stream ends without a chunk that has End set.
var errTruncated = errors.New("stream ended without a chunk that has End set")

// plainResponse is the response to a plain request.
type plainResponse struct {
	status int
	body   string
	// refusal is the kind of a refusal, empty for other responses.
	refusal string
	err     error
}

// generation is the received part of a generated answer.
type generation struct {
	text     string
	tokens   uint32
	versions []uint64
}

// generate requests an answer through daemon i. If onChunk is not nil, it is
// called with the received part after each chunk.
func (c *cluster) generate(i int, key string, m *callerv1.GenerateRequest, onChunk func(generation)) (generation, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*waitTimeout)
	defer cancel()
	return c.generateWith(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, i, key, m, onChunk)
}

func (c *cluster) generateWith(ctx context.Context, h *http.Client, i int, key string, m *callerv1.GenerateRequest, onChunk func(generation)) (generation, error) {
	a := generation{text: m.GetPartial(), tokens: m.GetOffset()}
	g := callerv1.NewGenerationServiceClient(h, "http://"+c.daemons[i].settings.Listen.Callers.String())
	r := connect.NewRequest(m)
	r.Header().Set("Authorization", "Bearer "+key)
	s, err := g.Generate(ctx, r)
	if err != nil {
		return a, err
	}
	defer func() { _ = s.Close() }()
	end := false
	for s.Receive() {
		x := s.Msg()
		if x.GetOffset() != a.tokens {
			return a, errors.New("chunk at the wrong offset")
		}
		a.text += x.GetText()
		a.tokens += x.GetTokens()
		end = x.GetEnd()
		if n := len(a.versions); n == 0 || a.versions[n-1] != x.GetWeightVersion() {
			a.versions = append(a.versions, x.GetWeightVersion())
		}
		if onChunk != nil {
			onChunk(a)
		}
	}
	if s.Err() == nil && !end {
		return a, errTruncated
	}
	return a, s.Err()
}

// plain sends one request to the plain service through daemon i, on a new
// connection.
func (c *cluster) plain(i int, key, path, id, body string) plainResponse {
	h := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return c.plainWith(h, i, key, path, id, body)
}

func (c *cluster) plainWith(h *http.Client, i int, key, path, id, body string) plainResponse {
	r, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost,
		"http://"+c.daemons[i].settings.Listen.Callers.String()+path, strings.NewReader(body))
	if err != nil {
		return plainResponse{err: err}
	}
	r.GetBody = nil
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if id != "" {
		r.Header.Set("Request-Id", id)
	}
	resp, err := h.Do(r)
	if err != nil {
		return plainResponse{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return plainResponse{status: resp.StatusCode, body: string(b), refusal: resp.Header.Get("Refusal-Kind"), err: err}
}

// expected returns the complete answer that the engines generate.
func expected(m *callerv1.GenerateRequest) string {
	return engine.Text(m.GetPrompt(), m.GetSeed(), 0, int(m.GetMaxTokens()))
}

// reasonOf returns the reason of a refusal, or "" for other errors.
func reasonOf(err error) string {
	var c *connect.Error
	if !errors.As(err, &c) {
		return ""
	}
	for _, d := range c.Details() {
		if v, err := d.Value(); err == nil {
			if r, ok := v.(*callerv1.Refusal); ok {
				return r.GetReason()
			}
		}
	}
	return ""
}
