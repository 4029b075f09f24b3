// Package settings reads the settings that a daemon needs before it can reach
// the platform's store.
package settings

import (
	"bytes"
	"io"
	"maps"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// ErrInvalid is returned when a settings file cannot be used. The error's text
// gives the cause.
var ErrInvalid = errors.New("settings: invalid")

// Settings are the settings of one daemon.
type Settings struct {
	// Machine is the name of the VM; a daemon that is restarted on it keeps the
	// name.
	Machine string `yaml:"Machine"`
	// Domain is the VM's failure domain.
	Domain string `yaml:"Domain"`
	// Regions maps failure domains to their regions, and Region is the VM's. A domain without a
	// region is in none to which requests may be restricted.
	Regions map[string]string `yaml:"Regions"`
	Region  string            `yaml:"Region"`
	Listen  Listen            `yaml:"Listen"`
	// Seeds are the addresses of daemons to contact before the others are
	// known; any may be out of date.
	Seeds []netip.AddrPort `yaml:"Seeds"`
	// Store and Cloud are the platform's services.
	Store netip.AddrPort `yaml:"Store"`
	Cloud netip.AddrPort `yaml:"Cloud"`
	// ServersFrom is the local address of connections to backend servers; if it is
	// missing, the VM's routes determine it.
	ServersFrom netip.Addr `yaml:"ServersFrom"`
	// CoreShare is the fraction of a CPU core that the daemon has.
	CoreShare float64 `yaml:"CoreShare"`
	// MemoryMB is how much memory the daemon may use, in megabytes.
	MemoryMB int64 `yaml:"MemoryMB"`
	// MaxDescriptors is how many file descriptors the daemon may open; if it is missing, the
	// limit of the process applies.
	MaxDescriptors int `yaml:"MaxDescriptors"`
	// ShareSlots is whether slots are shared among trainers while there is more work than
	// slots. It must be the same for all daemons.
	ShareSlots bool   `yaml:"ShareSlots"`
	Bounds     Bounds `yaml:"Bounds"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"LogLevel"`
}

// Listen contains the addresses at which a daemon listens.
type Listen struct {
	Callers netip.AddrPort `yaml:"Callers"`
	// Ready is the address for the balancer's readiness checks.
	Ready netip.AddrPort `yaml:"Ready"`
	// Peers is the address for requests of other daemons.
	Peers netip.AddrPort `yaml:"Peers"`
	// Metrics is the address of the scrape endpoint; if it is missing, none is served.
	Metrics netip.AddrPort `yaml:"Metrics"`
}

// Bounds are limits that the operators guarantee or require.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration `yaml:"Grace"`
	// LeaseTerm is the period in which two VMs must not alternate as holders of a
	// duty.
	LeaseTerm time.Duration `yaml:"LeaseTerm"`
	// UsageWindow is the length of a usage reporting window, and UsageLate how
	// long after its end the report is due.
	UsageWindow time.Duration `yaml:"UsageWindow"`
	UsageLate   time.Duration `yaml:"UsageLate"`
	// KeepResults is how long after its submission an ended job's results can be
	// read; 0 keeps them forever.
	KeepResults time.Duration `yaml:"KeepResults"`
}

// Load reads a settings file. Its error is ErrInvalid.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return Decode(b)
}

// Decode decodes settings and rejects unknown fields. Its error is ErrInvalid.
func Decode(b []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return s, s.check()
}

// RegionsByDomain returns the regions of the failure domains, with that of the VM's own.
func (s Settings) RegionsByDomain() map[string]string {
	out := map[string]string{s.Domain: s.Region}
	maps.Copy(out, s.Regions)
	return out
}

func (s Settings) check() error {
	switch {
	case s.Machine == "":
		return errors.Wrap(ErrInvalid, "Machine is missing")
	case !s.Listen.Callers.IsValid():
		return errors.Wrap(ErrInvalid, "Listen.Callers is missing")
	case !s.Listen.Ready.IsValid():
		return errors.Wrap(ErrInvalid, "Listen.Ready is missing")
	case !s.Listen.Peers.IsValid():
		return errors.Wrap(ErrInvalid, "Listen.Peers is missing")
	case !s.Store.IsValid():
		return errors.Wrap(ErrInvalid, "Store is missing")
	case s.Bounds.Grace <= 0:
		return errors.Wrap(ErrInvalid, "Bounds.Grace must be above zero")
	case s.Bounds.LeaseTerm <= 0:
		return errors.Wrap(ErrInvalid, "Bounds.LeaseTerm must be above zero")
	case s.Cloud.IsValid() && s.Bounds.UsageWindow <= 0:
		return errors.Wrap(ErrInvalid, "Bounds.UsageWindow must be above zero")
	}
	return nil
}
