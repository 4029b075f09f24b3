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

// handshake connects client to server, verifies that the client may use the
// claimed address, and returns the server's error, or the client's error if the
// server had none.
func handshake(t *testing.T, client, server *mtls.Identity, claimed netip.Addr) error {
	t.Helper()
	c, s := net.Pipe()
	defer c.Close()
	defer s.Close()
	failed := make(chan error, 1)
	go func() {
		tc := tls.Client(c, client.ClientConfig(local))
		err := tc.Handshake()
		if err == nil {
			// With TLS 1.3, the server rejects a client certificate only after
			// the client's handshake has completed.
			_, err = tc.Read(make([]byte, 1))
		}
		_ = c.Close()
		failed <- err
	}()
	ts := tls.Server(s, server.ServerConfig())
	err := ts.Handshake()
	if err == nil {
		err = mtls.VerifyAddress(ts.ConnectionState(), claimed)
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

func TestHandshakeRequiresAuthorityAndAddress(t *testing.T) {
	a := authority(t)
	server := load(t, issue(t, a, local))
	must.NoError(t, handshake(t, load(t, issue(t, a, local)), server, local))
	must.ErrorIs(t, handshake(t, load(t, issue(t, a, other)), server, local), mtls.ErrAddress)
	must.Error(t, handshake(t, load(t, issue(t, authority(t), local)), server, local))
	// The client rejects a server whose certificate is for another address.
	must.Error(t, handshake(t, server, load(t, issue(t, a, other)), local))
}

func TestIdentityReloadsCertificate(t *testing.T) {
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

func TestLoadReturnsErrFile(t *testing.T) {
	f := issue(t, authority(t), local)
	must.NoError(t, os.WriteFile(f.Key, []byte("nothing"), 0o600))
	_, err := mtls.Load(f)
	must.ErrorIs(t, err, mtls.ErrFile)
	_, err = mtls.LoadAuthority(t.TempDir())
	must.ErrorIs(t, err, mtls.ErrFile)
}

func TestAuthorityWriteAndLoad(t *testing.T) {
	a := authority(t)
	dir := t.TempDir()
	must.NoError(t, a.Write(dir))
	b, err := mtls.LoadAuthority(dir)
	must.NoError(t, err)
	must.NoError(t, handshake(t, load(t, issue(t, b, local)), load(t, issue(t, a, local)), local))
}
