// Package mtls gives daemons certificates and the TLS configurations with
// which they prove to each other that they belong to the fleet.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrFile says that a certificate or key file cannot be used.
	ErrFile = errors.New("mtls: bad file")
	// ErrAddress says that a peer's certificate is not for the address that
	// the peer claims.
	ErrAddress = errors.New("mtls: certificate is for another address")
)

// Files names the PEM files of one daemon.
type Files struct {
	// CA may hold several certificates, so that an authority can be replaced
	// while the old one still counts.
	CA          string
	Certificate string
	Key         string
}

// Identity is a daemon's certificate and the authorities it trusts. The
// certificate is read again when its file changes. Its methods may be called
// from any goroutine.
type Identity struct {
	files       Files
	authorities *x509.CertPool

	mutex       sync.Mutex
	certificate *tls.Certificate
	// modified is the modification time of the certificate in use.
	modified time.Time
}

// Load reads an identity. Its errors are ErrFile.
func Load(f Files) (*Identity, error) {
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Wrap(ErrFile, err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Wrapf(ErrFile, "%s: no certificate", f.CA)
	}
	i := &Identity{files: f, authorities: pool}
	if _, err := i.current(); err != nil {
		return nil, err
	}
	return i, nil
}

// Claims checks that the certificate of a connection is for the address a.
// Its error is ErrAddress.
func Claims(s tls.ConnectionState, a netip.Addr) error {
	if len(s.PeerCertificates) == 0 {
		return ErrAddress
	}
	if err := s.PeerCertificates[0].VerifyHostname(a.String()); err != nil {
		return errors.Wrap(ErrAddress, err.Error())
	}
	return nil
}

// Client returns the configuration for calling the daemon at to.
func (i *Identity) Client(to netip.Addr) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    i.authorities,
		ServerName: to.String(),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.current()
		},
	}
}

// Server returns the configuration for being called by daemons.
func (i *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  i.authorities,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return i.current()
		},
	}
}

// current returns the certificate, from its files if they have changed. A
// change that cannot be read leaves the certificate in use as it was.
func (i *Identity) current() (*tls.Certificate, error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	info, err := os.Stat(i.files.Certificate)
	if err == nil && i.certificate != nil && info.ModTime().Equal(i.modified) {
		return i.certificate, nil
	}
	if err == nil {
		err = i.reload(info.ModTime())
	}
	if i.certificate == nil {
		return nil, errors.Wrap(ErrFile, err.Error())
	}
	return i.certificate, nil
}

func (i *Identity) reload(modified time.Time) error {
	c, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return err
	}
	i.certificate = &c
	i.modified = modified
	return nil
}
