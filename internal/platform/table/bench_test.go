package table_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	standin "github.com/lacewingtally/lacewingtally/internal/standin/table"
)

// countingListener counts the bytes of all its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: &l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReadHeads reads two small rows over HTTP and reports the bytes on
// the connection, in both directions.
func BenchmarkReadHeads(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	l := &countingListener{Listener: inner}
	m := &table.Memory{}
	s := &http.Server{Handler: standin.NewHandler(m)}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	value := make([]byte, 60)
	must.NoError(b, m.Commit(context.Background(), table.Txn{ID: "00000000-0000-0000-0000-000000000000", Writes: []table.Write{
		{Key: "Config/Head", Value: value[:20]}, {Key: "Members/Fleet", Value: value},
	}}))
	c := table.NewHTTP(netip.MustParseAddrPort(inner.Addr().String()))
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Read(context.Background(), "Config/Head", "Members/Fleet")
		must.NoError(b, err)
	}
	b.ReportMetric(float64(l.bytes.Load())/float64(b.N), "wire-B/op")
}
