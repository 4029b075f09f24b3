// Package mtls provides the certificates and TLS configurations with which the
// daemons of a fleet authenticate each other.
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
	// ErrFile is returned when a certificate or key file cannot be used.
	ErrFile = errors.New("mtls: unusable file")
	// ErrAddress is returned when a peer's certificate is not valid for the
	// address that the peer claims.
	ErrAddress = errors.New("mtls: certificate is not valid for the claimed address")
)

// Files contains the paths of the PEM files of one daemon.
type Files struct {
	// CA may contain several certificates, so that an authority can be replaced
	// while the old one is still trusted.
	CA          string
	Certificate string
	Key         string
}

// Identity is a daemon's certificate and the authorities that it trusts. The
// certificate is reloaded when its file changes. Its methods may be called from
// any goroutine.
type Identity struct {
	files       Files
	authorities *x509.CertPool

	mutex       sync.Mutex
	certificate *tls.Certificate
	// modified is the modification time of the certificate in use.
	modified time.Time
}

// Load reads an identity. It returns ErrFile if a file cannot be used.
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

// VerifyAddress checks that the peer's certificate on a connection is valid for
// the address a. Its error is ErrAddress.
func VerifyAddress(s tls.ConnectionState, a netip.Addr) error {
	if len(s.PeerCertificates) == 0 {
		return ErrAddress
	}
	if err := s.PeerCertificates[0].VerifyHostname(a.String()); err != nil {
		return errors.Wrap(ErrAddress, err.Error())
	}
	return nil
}

// ClientConfig returns the TLS configuration for connections to the daemon at
// the address to.
func (i *Identity) ClientConfig(to netip.Addr) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    i.authorities,
		ServerName: to.String(),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.current()
		},
	}
}

// ServerConfig returns the TLS configuration for connections from other
// daemons.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  i.authorities,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return i.current()
		},
	}
}

// current returns the certificate, reloaded if its file has changed. If the
// reload fails, it returns the previous certificate.
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
