package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// Headers of plain requests and their responses.
const (
	headerRefusal    = "Refusal-Kind"
	headerRepeat     = "Request-Repeat"
	headerRequestID  = "Request-Id"
	headerRetryAfter = "Retry-After"
)

// Values of headerRefusal.
const (
	refusedGaveUp     = "GaveUp"
	refusedMayHaveRun = "MayHaveRun"
	refusedNotRun     = "NotRun"
)

// plainRequest is a request to a plain service.
type plainRequest struct {
	method string
	path   string
	body   string
	id     string
	// repeat is whether the request was sent before under the same ID.
	repeat bool
	wait   time.Duration
}

// plainResponse is the response of a plain service.
type plainResponse struct {
	Status int
	Body   string
}

func (s *session) addService(c *kingpin.CmdClause) {
	v := c.Command("service", "Send a request to a plain service and print its answer.")
	var p plainRequest
	v.Arg("path", "Path, as in the configured routes.").Required().StringVar(&p.path)
	v.Flag("method", "HTTP method.").Default(http.MethodPost).StringVar(&p.method)
	v.Flag("body", "Body of the request.").StringVar(&p.body)
	v.Flag("request-id", "ID of the request, the same in every repeat of it.").StringVar(&p.id)
	v.Flag("repeat", "Mark the request as sent before, so that a refusal applies to all attempts.").BoolVar(&p.repeat)
	v.Flag("deadline", "Longest time to wait.").Default(defaultDeadline).DurationVar(&p.wait)
	v.Action(func(*kingpin.ParseContext) error {
		w, err := s.callService(p)
		if err != nil {
			return err
		}
		return s.print(w, func(out io.Writer) {
			fmt.Fprintf(out, "%s\n[status %d]\n", strings.TrimRight(w.Body, "\n"), w.Status)
		})
	})
}

func (s *session) callService(p plainRequest) (plainResponse, error) {
	if !strings.HasPrefix(p.path, "/") {
		return plainResponse{}, errors.Wrap(ErrUsage, "the path must begin with a slash")
	}
	ctx, cancel := context.WithTimeout(s.ctx, p.wait)
	defer cancel()
	c := s.connector(defaultCallers)
	r, err := http.NewRequestWithContext(ctx, p.method, c.url()+p.path, strings.NewReader(p.body))
	if err != nil {
		return plainResponse{}, errors.Wrap(ErrUsage, err.Error())
	}
	// Without GetBody net/http cannot send the request again.
	r.GetBody = nil
	if p.id != "" {
		r.Header.Set(headerRequestID, p.id)
	}
	if p.repeat {
		r.Header.Set(headerRepeat, "true")
	}
	if s.keyFile != "" {
		k, err := readKey(s.keyFile)
		if err != nil {
			return plainResponse{}, err
		}
		r.Header.Set(authorization, bearerPrefix+k)
	}
	resp, err := c.client().Do(r)
	if isDialError(err) {
		return plainResponse{}, withExitCode(ExitFailed, err)
	}
	if err != nil {
		return plainResponse{}, withExitCode(ExitMayHaveRun, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(resp)
}

func readResponse(r *http.Response) (plainResponse, error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return plainResponse{}, withExitCode(ExitMayHaveRun, err)
	}
	w := plainResponse{Status: r.StatusCode, Body: string(b)}
	code, ok := map[string]int{
		refusedGaveUp:     ExitGaveUp,
		refusedMayHaveRun: ExitMayHaveRun,
		refusedNotRun:     ExitRefused,
	}[r.Header.Get(headerRefusal)]
	if !ok {
		return w, nil
	}
	text := strings.TrimSpace(w.Body)
	if after := r.Header.Get(headerRetryAfter); after != "" {
		text += ", retry in " + after + "s"
	}
	return plainResponse{}, withExitCode(code, errors.New(text))
}
