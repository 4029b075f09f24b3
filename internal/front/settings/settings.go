// Package settings reads what a daemon must know before it can reach the
// platform's store.
package settings

import (
	"bytes"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// ErrSettings says that a settings file cannot be used. The error's text names
// the place.
var ErrSettings = errors.New("settings: not usable")

// Settings are those of one daemon.
type Settings struct {
	// Machine names the VM; a daemon that starts again on it keeps the name.
	Machine string `yaml:"Machine"`
	Domain  string `yaml:"Domain"`
	Listen  Listen `yaml:"Listen"`
	// Seeds are daemons to ask before the others are known; any may be stale.
	Seeds []netip.AddrPort `yaml:"Seeds"`
	// Store and Cloud are the platform's services.
	Store netip.AddrPort `yaml:"Store"`
	Cloud netip.AddrPort `yaml:"Cloud"`
	// CoreShare is the part of a core that the daemon has.
	CoreShare float64 `yaml:"CoreShare"`
	// MemoryMB is what the daemon may use, in megabytes.
	MemoryMB int64  `yaml:"MemoryMB"`
	Bounds   Bounds `yaml:"Bounds"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"LogLevel"`
}

// Listen is where a daemon listens.
type Listen struct {
	Callers netip.AddrPort `yaml:"Callers"`
	Ready   netip.AddrPort `yaml:"Ready"`
	// Peers is where other daemons call.
	Peers   netip.AddrPort `yaml:"Peers"`
	Metrics netip.AddrPort `yaml:"Metrics"`
}

// Bounds are what the operators promise or ask for.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration `yaml:"Grace"`
	// LeaseTerm is the time within which two daemons may not take turns in a
	// duty.
	LeaseTerm time.Duration `yaml:"LeaseTerm"`
	// UsageWindow is the length of a window, and UsageLate how long after its
	// end the report is due.
	UsageWindow time.Duration `yaml:"UsageWindow"`
	UsageLate   time.Duration `yaml:"UsageLate"`
	// KeepResults is how long an ended job's results can be read after its
	// submission; 0 keeps them for good.
	KeepResults time.Duration `yaml:"KeepResults"`
}

// Load reads a file. Its error is ErrSettings.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	return Decode(b)
}

// Decode reads settings strictly. Its error is ErrSettings.
func Decode(b []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, errors.Wrap(ErrSettings, err.Error())
	}
	return s, s.check()
}

func (s Settings) check() error {
	switch {
	case s.Machine == "":
		return errors.Wrap(ErrSettings, "Machine is missing")
	case !s.Listen.Callers.IsValid():
		return errors.Wrap(ErrSettings, "Listen.Callers is missing")
	case !s.Listen.Ready.IsValid():
		return errors.Wrap(ErrSettings, "Listen.Ready is missing")
	case !s.Listen.Peers.IsValid():
		return errors.Wrap(ErrSettings, "Listen.Peers is missing")
	case !s.Store.IsValid():
		return errors.Wrap(ErrSettings, "Store is missing")
	case s.Bounds.Grace <= 0:
		return errors.Wrap(ErrSettings, "Bounds.Grace must be above zero")
	case s.Bounds.LeaseTerm <= 0:
		return errors.Wrap(ErrSettings, "Bounds.LeaseTerm must be above zero")
	case s.Cloud.IsValid() && s.Bounds.UsageWindow <= 0:
		return errors.Wrap(ErrSettings, "Bounds.UsageWindow must be above zero")
	}
	return nil
}
