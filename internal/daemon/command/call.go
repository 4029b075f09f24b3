package command

import (
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

const (
	// defaultDeadline is how long a call may take without --deadline.
	defaultDeadline = "2m"
	// maxResumes bounds how often an interrupted answer is resumed.
	maxResumes = 5
)

// errNoEnd is returned when a stream ends without a chunk that has End set.
var errNoEnd = errors.New("the answer ended early")

// answer is a generated text, complete or not.
type answer struct {
	Request fleet.RequestID
	Text    string
	Tokens  uint32
	// Versions are the weight versions that generated the text, in order.
	Versions []fleet.WeightVersion
	// Resumes counts how often the answer was interrupted and resumed.
	Resumes int
	// Complete is whether the chunk with End set was received.
	Complete bool `json:"Whole"`
}

// resumableReasons contains the reasons of refusals after which an answer is
// resumed through another daemon.
var resumableReasons = map[refusal.Reason]bool{
	refusal.ReasonConnectionLost: true,
	refusal.ReasonDraining:       true,
	refusal.ReasonUnconfirmed:    true,
}

func (s *session) addCall(a *kingpin.Application) {
	c := a.Command("call", "Send a request as a caller.")
	s.addGenerate(c)
	s.addService(c)
}

func (s *session) addGenerate(c *kingpin.CmdClause) {
	g := c.Command("generate", "Generate an answer and print it as it is received.")
	m := &callerv1.GenerateRequest{}
	g.Flag("pool", "Pool of model engines.").Required().StringVar(&m.Pool)
	g.Flag("prompt", "Prompt.").Required().StringVar(&m.Prompt)
	g.Flag("max-tokens", "Maximum number of tokens to generate.").Default("64").Uint32Var(&m.MaxTokens)
	g.Flag("seed", "Seed of the generation.").Uint64Var(&m.Seed)
	g.Flag("request-id", "ID of the request, the same in every repeat of it.").StringVar(&m.RequestId)
	wait := g.Flag("deadline", "Longest time to wait.").Default(defaultDeadline).Duration()
	g.Action(func(*kingpin.ParseContext) error {
		m.Deadline = timestamppb.New(time.Now().Add(*wait))
		if m.RequestId == "" {
			m.RequestId = uuid.NewString()
		}
		a, err := s.generate(m)
		if err != nil {
			return err
		}
		return s.print(a, func(out io.Writer) {
			fmt.Fprintf(out, "\n[complete: %d tokens, weight versions %v, resumed %d times, request %s]\n", a.Tokens, a.Versions, a.Resumes, a.Request)
		})
	})
}

// generate receives an answer. An interrupted answer is resumed, at most
// maxResumes times.
func (s *session) generate(m *callerv1.GenerateRequest) (answer, error) {
	c := s.connector(defaultCallers)
	a := answer{Request: fleet.RequestID(m.GetRequestId())}
	for {
		err := s.receive(c, m, &a)
		if err == nil {
			return a, nil
		}
		if !isResumable(err) || a.Resumes == maxResumes {
			return a, err
		}
		a.Resumes++
		c.next()
		m.Offset, m.Partial = a.Tokens, a.Text
		if err := s.waitToRetry(err); err != nil {
			return a, err
		}
	}
}

// waitToRetry waits for the retry delay of a refusal, if err is one with a
// delay. It returns err if the command is cancelled first.
func (s *session) waitToRetry(err error) error {
	r := refusalOf(err)
	if r.GetRetryAfter() == nil {
		return nil
	}
	t := time.NewTimer(r.GetRetryAfter().AsDuration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.ctx.Done():
		return err
	}
}

// receive adds the chunks of one stream to a.
func (s *session) receive(c *connector, m *callerv1.GenerateRequest, a *answer) error {
	r, err := callerRequest(s, m)
	if err != nil {
		return err
	}
	stream, err := s.generation(c).Generate(s.ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		x := stream.Msg()
		if x.GetOffset() != a.Tokens {
			return withExitCode(ExitMayHaveRun, errors.Errorf("chunk at offset %d, expected %d", x.GetOffset(), a.Tokens))
		}
		a.add(x)
		if s.output == outputText {
			fmt.Fprint(s.Stdout, x.GetText())
		}
	}
	if stream.Err() != nil {
		return stream.Err()
	}
	if !a.Complete {
		return withExitCode(ExitMayHaveRun, errNoEnd)
	}
	return nil
}

func (a *answer) add(x *callerv1.GenerateResponse) {
	a.Text += x.GetText()
	a.Tokens += x.GetTokens()
	a.Complete = x.GetEnd()
	v := fleet.WeightVersion(x.GetWeightVersion())
	if x.GetTokens() > 0 && (len(a.Versions) == 0 || a.Versions[len(a.Versions)-1] != v) {
		a.Versions = append(a.Versions, v)
	}
}

// isResumable reports whether an answer that ended with err may be resumed
// through another daemon: the connection was lost, or the daemon cannot continue.
func isResumable(err error) bool {
	if r := refusalOf(err); r != nil {
		return resumableReasons[refusal.Reason(r.GetReason())]
	}
	if errors.Is(err, errNoEnd) {
		return true
	}
	var c *connect.Error
	return errors.As(err, &c) && !connect.IsWireError(err) && !isDialError(err) && c.Code() != connect.CodeCanceled && c.Code() != connect.CodeDeadlineExceeded
}
