package mtls_test

import (
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/peer/mtls"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

var (
	local = netip.MustParseAddr("127.0.0.1")
	other = netip.MustParseAddr("127.0.0.2")
)

func issue(t *testing.T, a *mtls.Authority, addresses ...netip.Addr) mtls.Files {
	t.Helper()
	dir := t.TempDir()
	f := mtls.Files{
		CA:          filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
	}
	now := time.Now()
	must.NoError(t, a.Issue(f, addresses, now, now.Add(time.Hour)))
	return f
}

func authority(t *testing.T) *mtls.Authority {
	t.Helper()
	now := time.Now()
	a, err := mtls.NewAuthority(now, now.Add(time.Hour))
	must.NoError(t, err)
	return a
}

func load(t *testing.T, f mtls.Files) *mtls.Identity {
	t.Helper()
	i, err := mtls.Load(f)
	must.NoError(t, err)
	return i
}

// handshake connects client to server and returns the server's error, or the
// client's when the server had none.
func handshake(t *testing.T, client, server *mtls.Identity, claim netip.Addr) error {
	t.Helper()
	c, s := net.Pipe()
	defer c.Close()
	defer s.Close()
	failed := make(chan error, 1)
	go func() {
		tc := tls.Client(c, client.Client(local))
		err := tc.Handshake()
		if err == nil {
			// The server's verdict on the client's certificate arrives after the
			// client's own handshake.
			_, err = tc.Read(make([]byte, 1))
		}
		_ = c.Close()
		failed <- err
	}()
	ts := tls.Server(s, server.Server())
	err := ts.Handshake()
	if err == nil {
		err = mtls.Claims(ts.ConnectionState(), claim)
	}
	if err == nil {
		_, err = ts.Write([]byte{0})
	}
	_ = s.Close()
	if clientErr := <-failed; err == nil {
		err = clientErr
	}
	return err
}

func TestIdentityOnlyOfOneAuthority(t *testing.T) {
	a := authority(t)
	server := load(t, issue(t, a, local))
	must.NoError(t, handshake(t, load(t, issue(t, a, local)), server, local))
	must.ErrorIs(t, handshake(t, load(t, issue(t, a, other)), server, local), mtls.ErrAddress)
	must.Error(t, handshake(t, load(t, issue(t, authority(t), local)), server, local))
	// A server at another address than the dialled one is refused.
	must.Error(t, handshake(t, server, load(t, issue(t, a, other)), local))
}

func TestIdentityReadsANewCertificate(t *testing.T) {
	a := authority(t)
	f := issue(t, a, other)
	i := load(t, f)
	server := load(t, issue(t, a, local))
	must.ErrorIs(t, handshake(t, i, server, local), mtls.ErrAddress)
	now := time.Now()
	must.NoError(t, a.Issue(f, []netip.Addr{local}, now, now.Add(time.Hour)))
	must.NoError(t, os.Chtimes(f.Certificate, now, now.Add(time.Minute)))
	must.NoError(t, handshake(t, i, server, local))
}

func TestLoadNamesTheFile(t *testing.T) {
	f := issue(t, authority(t), local)
	must.NoError(t, os.WriteFile(f.Key, []byte("nothing"), 0o600))
	_, err := mtls.Load(f)
	must.ErrorIs(t, err, mtls.ErrFile)
	_, err = mtls.LoadAuthority(t.TempDir())
	must.ErrorIs(t, err, mtls.ErrFile)
}

func TestAuthorityIsKept(t *testing.T) {
	a := authority(t)
	dir := t.TempDir()
	must.NoError(t, a.Write(dir))
	b, err := mtls.LoadAuthority(dir)
	must.NoError(t, err)
	must.NoError(t, handshake(t, load(t, issue(t, b, local)), load(t, issue(t, a, local)), local))
}
