// Package config implements the fleet-wide configuration that operators change:
// one document with a revision. It contains no settings of a single VM.
package config

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Protocols of a pool.
const (
	ProtocolEngine  Protocol = "Engine"
	ProtocolService Protocol = "Service"
)

// Settings that have a fleet-wide default. An Exception overrides one for a
// workspace.
const (
	// MaxVersionLag is how many weight versions a sample may be behind its
	// trainer.
	MaxVersionLag Setting = "MaxVersionLag"
	// MaxWaiting limits how many requests of a workspace may wait in one cell.
	MaxWaiting Setting = "MaxWaiting"
	// RequestsPerSecond limits a workspace across the whole fleet.
	RequestsPerSecond Setting = "RequestsPerSecond"
	// RetryShare is the number of retries allowed per first attempt.
	RetryShare Setting = "RetryShare"
	// SwapsPerSecond limits how many weight swaps may begin per second across
	// the whole fleet, to suit the weight store's rate; 0 is no limit. It has
	// no exceptions.
	SwapsPerSecond Setting = "SwapsPerSecond"
	// TokensPerSecond limits a workspace across the whole fleet.
	TokensPerSecond Setting = "TokensPerSecond"
	// Weight is the workspace's weight in fair sharing.
	Weight Setting = "Weight"
)

// Config is one revision of the configuration.
type Config struct {
	// Revision is 0 for a document that was never accepted.
	Revision   fleet.ConfigRevision `yaml:"Revision"`
	Workspaces []Workspace          `yaml:"Workspaces"`
	Keys       []Key                `yaml:"Keys"`
	// Defaults contains the fleet-wide values of settings. A setting that is
	// absent has its built-in value.
	Defaults   map[Setting]float64 `yaml:"Defaults"`
	Exceptions []Exception         `yaml:"Exceptions"`
	Pools      []Pool              `yaml:"Pools"`
	Routes     []Route             `yaml:"Routes"`
	Drains     []Drain             `yaml:"Drains"`
}

// Drain excludes a failure domain from use.
type Drain struct {
	FailureDomain fleet.FailureDomain `yaml:"FailureDomain"`
	// Reason is never empty.
	Reason string `yaml:"Reason"`
}

// Exception overrides one setting for one workspace.
type Exception struct {
	Workspace fleet.Workspace `yaml:"Workspace"`
	Setting   Setting         `yaml:"Setting"`
	Value     float64         `yaml:"Value"`
	// Reason is never empty.
	Reason string `yaml:"Reason"`
}

// Key is a caller's API key, of which only the hash is stored.
type Key struct {
	// Hash is the SHA-256 of the key in lower-case hexadecimal, unique in a
	// document.
	Hash      string          `yaml:"Hash"`
	Workspace fleet.Workspace `yaml:"Workspace"`
	// WithdrawnAt is zero while the key is valid. A withdrawn key stays in the
	// document, so that it is not granted again by mistake.
	WithdrawnAt time.Time `yaml:"WithdrawnAt,omitempty"`
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name     fleet.Pool `yaml:"Name"`
	Protocol Protocol   `yaml:"Protocol"`
	// LiveFloor is the number of servers that must remain after the loss of
	// any one failure domain.
	LiveFloor int `yaml:"LiveFloor"`
	// MaxServers limits the number of servers that may be ordered.
	MaxServers int `yaml:"MaxServers"`
	// SpotAllowed is whether spot servers may be ordered for the pool.
	SpotAllowed bool `yaml:"SpotAllowed"`
}

// Protocol is the protocol of the servers of a pool.
type Protocol string

// Route sends the requests under a path to a pool.
type Route struct {
	// Path is a prefix of the URL path, unique in a document. It begins with a
	// slash.
	Path string     `yaml:"Path"`
	Pool fleet.Pool `yaml:"Pool"`
	// Open routes need no key.
	Open bool `yaml:"Open"`
	// Repeatable requests may be run more than once.
	Repeatable bool        `yaml:"Repeatable"`
	Class      fleet.Class `yaml:"Class"`
}

// Setting is the name of a setting that has a fleet-wide default.
type Setting string

// Workspace is a group of callers with its own keys, limits and weight.
type Workspace struct {
	Name fleet.Workspace `yaml:"Name"`
}
