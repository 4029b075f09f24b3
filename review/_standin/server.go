package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a server in the store.
const heartbeat = 1200 * time.Millisecond

// request is a request that a server has read.
type request struct {
	*http.Request

	id   string
	body []byte
	// conn is the connection on which it came.
	conn *serverConn
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn

	// last is the last answer on the connection, with its head.
	last []byte
	// late is an answer that is sent once more when the next request has come.
	late []byte
}

// server is a stand-in for a server. Its handler returns false to close the connection.
type server struct {
	store   *store
	name    string
	service string
	zone    string
	slots   int
	model   string
	handle  func(s *server, r request) bool

	mutex    sync.Mutex
	id       string
	born     int64
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	starts   int
	orders   int
	running  int
	stop     chan struct{}
}

func newServer(st *store, name, service, zone, model string, slots int, handle func(*server, request) bool) (*server, error) {
	s := &server{store: st, name: name, service: service, zone: zone, model: model, slots: slots, handle: handle, address: "127.0.0.1:0"}
	return s, s.begin()
}

// begin starts a new incarnation of the server.
func (s *server) begin() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	s.born = time.Now().UnixMilli()
	s.address = l.Addr().String()
	s.listener, s.conns, s.up, s.orders, s.running = l, make(map[net.Conn]bool), true, 0, 0
	s.stop = make(chan struct{})
	go s.accept(l, s.stop)
	go s.beat(s.stop)
	return nil
}

// crash ends the server without a word, and starts it again after a time.
func (s *server) crash(down time.Duration) {
	s.mutex.Lock()
	if !s.up {
		s.mutex.Unlock()
		return
	}
	s.up = false
	close(s.stop)
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	id := s.id
	s.mutex.Unlock()
	// The entry is removed after three intervals of silence.
	time.AfterFunc(3*heartbeat, func() { s.store.remove("servers", id) })
	time.AfterFunc(down, func() {
		if err := s.begin(); err != nil {
			fatal("server not started again: %v", err)
		}
	})
}

func (s *server) beat(stop chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		s.mutex.Lock()
		models := []any{}
		if s.model != "" {
			models = append(models, map[string]any{"name": s.model, "version": 1, "adapters": []any{}})
		}
		entry := map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
			"cold_left_ms": 0, "stage": "combined", "models": models, "seq_no": s.orders, "born": s.born,
		}
		id := s.id
		s.mutex.Unlock()
		s.store.put("servers", id, entry)
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

func (s *server) accept(l net.Listener, stop chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		select {
		case <-stop:
			_ = c.Close()
		default:
			s.conns[c] = true
		}
		s.mutex.Unlock()
		go s.serve(&serverConn{Conn: c})
	}
}

func (s *server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mutex.Lock()
		delete(s.conns, c.Conn)
		s.mutex.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		h, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b, err := io.ReadAll(h.Body)
		if err != nil {
			return
		}
		r := request{Request: h, id: h.Header.Get("X-Lacewingtally-Request-Id"), body: b, conn: c}
		if c.late != nil {
			late := c.late
			c.late = nil
			if bytes.Contains(late, []byte(r.id)) && r.id != "" {
				record("server", "the late copy of the answer to %s is sent when that request comes again", r.id)
			}
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		s.mutex.Lock()
		id := s.id
		s.mutex.Unlock()
		if want := h.Header.Get("X-Lacewingtally-Expect-Instance"); want != "" && want != id {
			if !r.answer(http.StatusMisdirectedRequest, "", "X-Lacewingtally-Instance-Id", id) {
				return
			}
			continue
		}
		if h.URL.Path == "/api/report" {
			if !s.report(r) {
				return
			}
			continue
		}
		if !s.handle(s, r) {
			return
		}
	}
}

func (s *server) report(r request) bool {
	s.mutex.Lock()
	b, err := json.Marshal(map[string]any{
		"stage": "combined", "models": []any{map[string]any{"name": s.model, "version": 1}}, "busy": false,
		"seq_no": s.orders, "queued": 0, "running": s.running, "kv_used": 0, "kv_total": 38259, "handles": 0,
	})
	s.mutex.Unlock()
	if err != nil {
		panic(err)
	}
	return r.answer(http.StatusOK, string(b))
}

// take takes one of the slots and a few places in the queue; false if the server is full.
func (s *server) take(places int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running >= places {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// stamp returns the server's signature of an answer.
func (s *server) stamp(r request) string {
	return s.name + "." + r.id
}

// answer sends an answer with a length. The headers are given in pairs.
func (r request) answer(status int, body string, headers ...string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if r.id != "" {
		fmt.Fprintf(&b, "X-Lacewingtally-Request-Id: %s\r\n", r.id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	r.conn.last = []byte(b.String())
	_, err := r.conn.Write(r.conn.last)
	return err == nil
}

// stream sends a stream of events from the one after Last-Event-Id on.
func (r request) stream(s *server, events int, pause time.Duration) bool {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
		"X-Lacewingtally-Request-Id: " + r.id + "\r\nX-Lacewingtally-Server-Stamp: " + s.stamp(r) + "\r\n" +
		"X-Lacewingtally-Weight-Versions: 1\r\n\r\n"
	if _, err := io.WriteString(r.conn, head); err != nil {
		return false
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		time.Sleep(pause)
		e := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, r.id, n)
		if _, err := fmt.Fprintf(r.conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(r.conn, "0\r\n\r\n")
	return err == nil
}
