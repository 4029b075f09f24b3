// Package settings reads what one process must know before it can reach the
// fleet: its addresses, its failure domain and where the platform is.
package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Built-in values of settings that a file may leave out.
const (
	defaultBalancerDelay = 3 * time.Second
	defaultDrainLimit    = 10 * time.Minute
	defaultLogLevel      = "info"
)

// Drain says how a daemon leaves.
type Drain struct {
	// BalancerDelay is how long the balancer may take to see that the daemon
	// is no longer ready; listeners stay open that long.
	BalancerDelay time.Duration `yaml:"BalancerDelay" validate:"min=0"`
	// Limit bounds the wait for running work. It is longer than any request.
	Limit time.Duration `yaml:"Limit" validate:"gt=0"`
}

// Listen is where a daemon listens. All addresses differ.
type Listen struct {
	Callers   netip.AddrPort `yaml:"Callers" validate:"address"`
	Operators netip.AddrPort `yaml:"Operators" validate:"address"`
	Peers     netip.AddrPort `yaml:"Peers" validate:"address"`
	// Metrics also serves the health and readiness endpoints.
	Metrics netip.AddrPort `yaml:"Metrics" validate:"address"`
}

// Log is what a daemon writes to its standard error.
type Log struct {
	Level string `yaml:"Level" validate:"oneof=debug info warn error"`
	// TimeLine is whether the events of the time line are written too.
	TimeLine bool `yaml:"TimeLine"`
}

// Platform is where the platform's services are.
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
	// FailureDomains are in no other region.
	FailureDomains []fleet.FailureDomain `yaml:"FailureDomains" validate:"min=1,dive,name"`
}

// Settings are the settings of one process.
type Settings struct {
	// Region is one of Regions.
	Region fleet.Region `yaml:"Region" validate:"name"`
	// FailureDomain is one of the region's.
	FailureDomain fleet.FailureDomain `yaml:"FailureDomain" validate:"name"`
	// Regions is the same on every daemon of the fleet.
	Regions []Region `yaml:"Regions" validate:"min=1,dive"`
	Listen  Listen   `yaml:"Listen"`
	// AdvertisePeer is where other daemons reach this one.
	AdvertisePeer netip.AddrPort `yaml:"AdvertisePeer" validate:"address"`
	// Seeds are peer addresses to ask when the table cannot be read at boot.
	Seeds    []netip.AddrPort `yaml:"Seeds" validate:"dive,address"`
	Platform Platform         `yaml:"Platform"`
	TLS      TLS              `yaml:"TLS"`
	// OperatorKeyHash is the SHA-256 of the operators' key in lower-case
	// hexadecimal.
	OperatorKeyHash string `yaml:"OperatorKeyHash" validate:"len=64,hexadecimal,lowercase"`
	Drain           Drain  `yaml:"Drain"`
	Log             Log    `yaml:"Log"`
}

// TLS names the PEM files with which daemons know each other.
type TLS struct {
	CA          string `yaml:"CA" validate:"required"`
	Certificate string `yaml:"Certificate" validate:"required"`
	Key         string `yaml:"Key" validate:"required"`
}

// Default returns the settings that an empty file gives.
func Default() Settings {
	return Settings{
		Drain: Drain{BalancerDelay: defaultBalancerDelay, Limit: defaultDrainLimit},
		Log:   Log{Level: defaultLogLevel},
	}
}

// Load reads and checks a file. Its errors are ErrFile, ErrUnknownKey,
// ErrInvalid and ErrOverlap, in an *Error that names the line.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Kind: ErrFile, File: path, Text: errors.Cause(err).Error()}
	}
	return Parse(path, b)
}

// Marshal returns the file that gives s.
func Marshal(s Settings) ([]byte, error) {
	b, err := yaml.Marshal(s)
	return b, errors.Wrap(err, "settings: marshal")
}

// Parse reads and checks the content of a file. Its errors are those of Load.
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
