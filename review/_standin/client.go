package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// newID returns a new ID of 16 hexadecimal digits.
func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// reply is what a client got; status is 0 if there was no complete answer.
type reply struct {
	status int
	body   []byte
	header http.Header
	err    error
}

// send makes one client attempt on a new connection. The headers are given in pairs.
func send(method, front, target string, body []byte, deadline time.Duration, headers ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+front+target, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host = host
	r.GetBody = nil
	if len(body) == 0 {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	r.Header.Set("X-Lacewingtally-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, body: b, header: resp.Header}
}
