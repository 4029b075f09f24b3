// Package settings loads the local settings that a daemon needs before it can
// reach the fleet: its addresses, its failure domain and the addresses of the
// platform's services.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Defaults of optional settings.
const (
	defaultBalancerDelay = 3 * time.Second
	defaultDrainLimit    = 10 * time.Minute
	defaultLogLevel      = "info"
)

// Drain configures how a daemon drains.
type Drain struct {
	// BalancerDelay is the time that the load balancer may take to detect that
	// the daemon is no longer ready. Listeners stay open for this long.
	BalancerDelay time.Duration `yaml:"BalancerDelay" validate:"min=0"`
	// Limit bounds the wait for running requests. It must be longer than any
	// request.
	Limit time.Duration `yaml:"Limit" validate:"gt=0"`
}

// Listen holds the addresses of a daemon's listeners. They must all differ.
type Listen struct {
	Callers   netip.AddrPort `yaml:"Callers" validate:"address"`
	Operators netip.AddrPort `yaml:"Operators" validate:"address"`
	Peers     netip.AddrPort `yaml:"Peers" validate:"address"`
	// Metrics also serves the health and readiness endpoints.
	Metrics netip.AddrPort `yaml:"Metrics" validate:"address"`
}

// Log configures what a daemon writes to standard error.
type Log struct {
	Level string `yaml:"Level" validate:"oneof=debug info warn error"`
	// TimeLine enables writing the events of the time line.
	TimeLine bool `yaml:"TimeLine"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Table   netip.AddrPort `yaml:"Table" validate:"address"`
	Objects netip.AddrPort `yaml:"Objects" validate:"address"`
	Orders  netip.AddrPort `yaml:"Orders" validate:"address"`
	Usage   netip.AddrPort `yaml:"Usage" validate:"address"`
	VMList  netip.AddrPort `yaml:"VMList" validate:"address"`
	Weights netip.AddrPort `yaml:"Weights" validate:"address"`
}

// Region is a region of the fleet with its failure domains.
type Region struct {
	Name fleet.Region `yaml:"Name" validate:"name"`
	// FailureDomains must not occur in another region.
	FailureDomains []fleet.FailureDomain `yaml:"FailureDomains" validate:"min=1,dive,name"`
}

// Settings are the local settings of one daemon.
type Settings struct {
	// Region must be one of Regions.
	Region fleet.Region `yaml:"Region" validate:"name"`
	// FailureDomain must be one of the region's failure domains.
	FailureDomain fleet.FailureDomain `yaml:"FailureDomain" validate:"name"`
	// Regions must be the same on all daemons of the fleet.
	Regions []Region `yaml:"Regions" validate:"min=1,dive"`
	Listen  Listen   `yaml:"Listen"`
	// AdvertisePeer is the address at which other daemons reach this one.
	AdvertisePeer netip.AddrPort `yaml:"AdvertisePeer" validate:"address"`
	// Seeds are the peers to contact if the table cannot be read at startup.
	Seeds    []netip.AddrPort `yaml:"Seeds" validate:"dive,address"`
	Platform Platform         `yaml:"Platform"`
	TLS      TLS              `yaml:"TLS"`
	// OperatorKeyHash is the SHA-256 of the operators' key in lower-case
	// hexadecimal.
	OperatorKeyHash string `yaml:"OperatorKeyHash" validate:"len=64,hexadecimal,lowercase"`
	Drain           Drain  `yaml:"Drain"`
	Log             Log    `yaml:"Log"`
}

// TLS holds the paths of the PEM files with which daemons authenticate each
// other.
type TLS struct {
	CA          string `yaml:"CA" validate:"required"`
	Certificate string `yaml:"Certificate" validate:"required"`
	Key         string `yaml:"Key" validate:"required"`
}

// Default returns the settings of an empty file.
func Default() Settings {
	return Settings{
		Drain: Drain{BalancerDelay: defaultBalancerDelay, Limit: defaultDrainLimit},
		Log:   Log{Level: defaultLogLevel},
	}
}

// Load reads and validates a file. It returns an *Error with the line and one of
// ErrFile, ErrUnknownKey, ErrInvalid and ErrDuplicate.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Kind: ErrFile, File: path, Text: errors.Cause(err).Error()}
	}
	return Parse(path, b)
}

// Marshal encodes s as the content of a settings file.
func Marshal(s Settings) ([]byte, error) {
	b, err := yaml.Marshal(s)
	return b, errors.Wrap(err, "settings: marshal")
}

// Parse parses and validates the content of a file. It returns the same errors
// as Load.
func Parse(file string, content []byte) (Settings, error) {
	d, err := decode(file, content)
	if err != nil {
		return Settings{}, err
	}
	if err := check(d); err != nil {
		return Settings{}, err
	}
	return d.settings, nil
}
