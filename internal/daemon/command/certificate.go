package command

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/peer/mtls"
)

const (
	// directoryMode is the mode of directories that contain private keys.
	directoryMode = 0o700
	day           = 24 * time.Hour
	// authorityDays is the validity of a new authority, in days.
	authorityDays = 3650
	// certificateDays is the validity of a daemon's certificate, in days,
	// without --days.
	certificateDays = "365"
)

func (s *session) addCertificate(a *kingpin.Application) {
	c := a.Command("certificate", "Create the certificates with which daemons authenticate each other.")
	create := c.Command("create", "Create a daemon's certificate, and the authority if there is none yet.")
	authority := create.Flag("authority", "Directory of the authority.").Required().String()
	directory := create.Flag("directory", "Directory for the daemon's files.").Required().String()
	ips := create.Flag("address", "IP address of the daemon; may be given more than once.").Required().IPList()
	days := create.Flag("days", "Days of validity.").Default(certificateDays).Int()
	create.Action(func(*kingpin.ParseContext) error {
		var l []netip.Addr
		for _, ip := range *ips {
			n, _ := netip.AddrFromSlice(ip)
			l = append(l, n.Unmap())
		}
		now := time.Now()
		return s.createCertificate(*authority, *directory, l, now, now.Add(time.Duration(*days)*day))
	})
}

func (s *session) createCertificate(authority, directory string, l []netip.Addr, now, notAfter time.Time) error {
	for _, d := range []string{authority, directory} {
		if err := os.MkdirAll(d, directoryMode); err != nil {
			return withExitCode(ExitFailed, err)
		}
	}
	a, err := s.authority(authority, now)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	f := mtls.Files{
		CA:          filepath.Join(directory, "ca.pem"),
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
	}
	if err := a.Issue(f, l, now, notAfter); err != nil {
		return withExitCode(ExitFailed, err)
	}
	return s.print(f, func(w io.Writer) {
		fmt.Fprintf(w, "CA: %s\nCertificate: %s\nKey: %s\n", f.CA, f.Certificate, f.Key)
	})
}

// authority loads the authority in a directory, or creates it there.
func (s *session) authority(directory string, now time.Time) (*mtls.Authority, error) {
	if _, err := os.Stat(filepath.Join(directory, mtls.AuthorityKeyFile)); !errors.Is(err, os.ErrNotExist) {
		return mtls.LoadAuthority(directory)
	}
	a, err := mtls.NewAuthority(now, now.Add(authorityDays*day))
	if err != nil {
		return nil, err
	}
	return a, a.Write(directory)
}
