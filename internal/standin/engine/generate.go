package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
)

// errStreamEnded reports that a stream ended early, because of a fault or because
// the client disconnected.
var errStreamEnded = errors.New("engine: stream stopped")

// stream is the response to one attempt.
type stream struct {
	base    uint64
	crashed <-chan struct{}
	encoder *json.Encoder
	engine  *Engine
	// faultApplied is whether a fault that affects a single chunk has occurred.
	faultApplied bool
	fault        Fault
	flusher      http.Flusher
	request      engine.Request
	sent         int
	writer       http.ResponseWriter
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var in engine.Request
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	f := e.takeFault(in.Prompt, false)
	if f.Kind == FaultRefuse {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	s := &stream{
		base:    xxhash.Sum64String(in.Prompt) ^ in.Seed,
		encoder: json.NewEncoder(w),
		engine:  e,
		fault:   f,
		flusher: w.(http.Flusher),
		request: in,
		writer:  w,
	}
	defer e.release(in.Attempt)
	s.writeHeader()
	if err := s.waitForSlot(r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := s.run(r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// release frees the slot of an attempt, if it has one, and wakes the waiting
// attempts.
func (e *Engine) release(attempt string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, attempt)
	close(e.changed)
	e.changed = make(chan struct{})
}

// waitForSlot waits until the engine has a free slot and takes it.
func (s *stream) waitForSlot(ctx context.Context) error {
	e := s.engine
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		e.mutex.Lock()
		s.crashed = e.crashed
		if len(e.running) < e.capacity {
			e.running[s.request.Attempt] = &attempt{request: s.request, offset: s.request.Offset}
			e.runs[s.request.ID]++
			e.mutex.Unlock()
			return nil
		}
		changed := e.changed
		e.mutex.Unlock()
		select {
		case <-changed:
		case <-s.crashed:
			return errStreamEnded
		case <-ctx.Done():
			return errStreamEnded
		case <-t.C:
			if _, err := s.writer.Write([]byte("\n")); err != nil {
				return errStreamEnded
			}
			s.flusher.Flush()
		}
	}
}

// chunk returns the chunk at an offset and records the offset for an export.
func (s *stream) chunk(offset int) engine.Chunk {
	e := s.engine
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a := e.running[s.request.Attempt]; a != nil {
		a.offset = offset + 1
	}
	c := engine.Chunk{
		Attempt: s.request.Attempt,
		Offset:  offset,
		Text:    token(s.base, offset),
		Tokens:  1,
		Version: e.version,
	}
	if s.fault.Kind == FaultNoVersion {
		c.Version = 0
	}
	return c
}

// faultDue reports whether the answer has reached the length at which the fault
// occurs.
func (s *stream) faultDue() bool {
	return s.request.Offset+s.sent >= s.fault.After
}

// applyFault applies a fault that ends the stream, if it is due before the next
// chunk.
func (s *stream) applyFault(ctx context.Context) error {
	if !s.faultDue() {
		return nil
	}
	switch s.fault.Kind {
	case FaultCrash:
		s.engine.Crash(time.Duration(s.fault.Down) * time.Millisecond)
		return errStreamEnded
	case FaultCut, FaultError:
		return errStreamEnded
	case FaultHang:
		select {
		case <-ctx.Done():
		case <-s.crashed:
		}
		return errStreamEnded
	}
	return nil
}

func (s *stream) writeHeader() {
	e := s.engine
	e.mutex.Lock()
	boot := e.bootName()
	e.mutex.Unlock()
	s.writer.Header().Set("Content-Type", "application/x-ndjson")
	s.writer.Header().Set(engine.AttemptHeader, s.request.Attempt)
	s.writer.Header().Set(engine.BootHeader, boot)
	if s.fault.Kind == FaultError && s.fault.After == 0 {
		s.writer.WriteHeader(http.StatusInternalServerError)
	}
	s.flusher.Flush()
}

func (s *stream) run(ctx context.Context) error {
	for i := s.request.Offset; i < s.request.MaxTokens; i++ {
		if err := s.waitInterval(ctx); err != nil {
			return err
		}
		if err := s.applyFault(ctx); err != nil {
			return err
		}
		if err := s.send(s.chunk(i)); err != nil {
			return err
		}
	}
	if err := s.applyFault(ctx); err != nil {
		return err
	}
	if s.fault.Kind == FaultNoEnd {
		return nil
	}
	return s.write(engine.Chunk{
		Attempt: s.request.Attempt,
		Offset:  max(s.request.MaxTokens, s.request.Offset),
		Version: s.engine.Version(),
		End:     true,
	})
}

func (s *stream) send(c engine.Chunk) error {
	faulty := s.faultDue() && !s.faultApplied
	s.faultApplied = s.faultApplied || faulty
	s.sent++
	switch {
	case faulty && s.fault.Kind == FaultSkip:
		return nil
	case faulty && s.fault.Kind == FaultWrongAttempt:
		c.Attempt, c.Text = "another", token(s.base+1, c.Offset)
	case faulty && s.fault.Kind == FaultDuplicate:
		if err := s.write(c); err != nil {
			return err
		}
	}
	return s.write(c)
}

func (s *stream) waitInterval(ctx context.Context) error {
	select {
	case <-s.crashed:
		return errStreamEnded
	case <-ctx.Done():
		return errStreamEnded
	default:
	}
	if s.engine.interval == 0 {
		return nil
	}
	t := time.NewTimer(s.engine.interval)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-s.crashed:
		return errStreamEnded
	case <-ctx.Done():
		return errStreamEnded
	}
}

func (s *stream) write(c engine.Chunk) error {
	if err := s.encoder.Encode(c); err != nil {
		return errStreamEnded
	}
	s.flusher.Flush()
	return nil
}
