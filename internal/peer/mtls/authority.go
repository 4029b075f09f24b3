package mtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// AuthorityCertificateFile is the file name of the authority's certificate.
	AuthorityCertificateFile = "ca.pem"
	// AuthorityKeyFile is the file name of the authority's private key, which
	// only the operators hold.
	AuthorityKeyFile = "ca-key.pem"

	certificateBlock = "CERTIFICATE"
	keyBlock         = "EC PRIVATE KEY"
	// clockSkew is how long before its issue a certificate becomes valid, since
	// clocks differ.
	clockSkew = 5 * time.Minute
	// privateMode is the mode of files that contain private keys.
	privateMode = 0o600
	publicMode  = 0o644
	// serialBits is the size of serial numbers in bits.
	serialBits = 127
)

// Authority signs the certificates of daemons.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// LoadAuthority reads an authority from the directory that Write wrote it to.
func LoadAuthority(dir string) (*Authority, error) {
	block, err := readBlock(filepath.Join(dir, AuthorityCertificateFile), certificateBlock)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(block)
	if err != nil {
		return nil, errors.Wrapf(ErrFile, "%s: %v", AuthorityCertificateFile, err)
	}
	block, err = readBlock(filepath.Join(dir, AuthorityKeyFile), keyBlock)
	if err != nil {
		return nil, err
	}
	k, err := x509.ParseECPrivateKey(block)
	if err != nil {
		return nil, errors.Wrapf(ErrFile, "%s: %v", AuthorityKeyFile, err)
	}
	return &Authority{certificate: c, key: k}, nil
}

// NewAuthority creates an authority whose certificate is valid from now until
// notAfter.
func NewAuthority(now, notAfter time.Time) (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "mtls: generate authority key")
	}
	t, err := template("lacewingtally authority", now, notAfter)
	if err != nil {
		return nil, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return nil, errors.Wrap(err, "mtls: create authority certificate")
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "mtls: parse authority certificate")
	}
	return &Authority{certificate: c, key: k}, nil
}

// Issue creates a key and a certificate for the daemon at the given addresses
// and writes them, with the authority's certificate, to f.
func (a *Authority) Issue(f Files, addresses []netip.Addr, now, notAfter time.Time) error {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "mtls: generate key")
	}
	t, err := template("lacewingtally daemon", now, notAfter)
	if err != nil {
		return err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	for _, address := range addresses {
		t.IPAddresses = append(t.IPAddresses, net.IP(address.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &k.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "mtls: create certificate")
	}
	if err := writeBlock(f.Certificate, certificateBlock, der, publicMode); err != nil {
		return err
	}
	if err := writeBlock(f.CA, certificateBlock, a.certificate.Raw, publicMode); err != nil {
		return err
	}
	return writeKey(f.Key, k)
}

// Write writes the authority's certificate and key to a directory.
func (a *Authority) Write(dir string) error {
	c := filepath.Join(dir, AuthorityCertificateFile)
	if err := writeBlock(c, certificateBlock, a.certificate.Raw, publicMode); err != nil {
		return err
	}
	return writeKey(filepath.Join(dir, AuthorityKeyFile), a.key)
}

func readBlock(path, kind string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(ErrFile, err.Error())
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != kind {
		return nil, errors.Wrapf(ErrFile, "%s: no PEM block %q", path, kind)
	}
	return block.Bytes, nil
}

func template(name string, now, notAfter time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "mtls: generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     notAfter,
	}, nil
}

func writeBlock(path, kind string, der []byte, mode os.FileMode) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, data, mode), "mtls")
}

func writeKey(path string, k *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return errors.Wrap(err, "mtls: encode key")
	}
	return writeBlock(path, keyBlock, der, privateMode)
}
