// Package config holds the fleet-wide configuration that operators change: one
// document with a revision, never a setting of a single VM.
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

// Settings that Defaults give and exceptions replace for one workspace.
const (
	// MaxVersionLag is how many weight versions a sample may be behind its
	// trainer.
	MaxVersionLag Setting = "MaxVersionLag"
	// MaxWaiting is how many requests of a workspace may wait in one cell.
	MaxWaiting Setting = "MaxWaiting"
	// RequestsPerSecond limits a workspace over the whole fleet.
	RequestsPerSecond Setting = "RequestsPerSecond"
	// RetryShare is the number of retries allowed per first attempt.
	RetryShare Setting = "RetryShare"
	// SwapsPerSecond is how many weight swaps may begin a second over the
	// whole fleet, by the weight store's rate; 0 is without limit. It has no
	// exceptions.
	SwapsPerSecond Setting = "SwapsPerSecond"
	// TokensPerSecond limits a workspace over the whole fleet.
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
	// Defaults gives a value for settings; an absent one has the built-in
	// value.
	Defaults   map[Setting]float64 `yaml:"Defaults"`
	Exceptions []Exception         `yaml:"Exceptions"`
	Pools      []Pool              `yaml:"Pools"`
	Routes     []Route             `yaml:"Routes"`
	Drains     []Drain             `yaml:"Drains"`
}

// Drain takes a failure domain out of use.
type Drain struct {
	FailureDomain fleet.FailureDomain `yaml:"FailureDomain"`
	// Reason is never empty.
	Reason string `yaml:"Reason"`
}

// Exception replaces one setting for one workspace.
type Exception struct {
	Workspace fleet.Workspace `yaml:"Workspace"`
	Setting   Setting         `yaml:"Setting"`
	Value     float64         `yaml:"Value"`
	// Reason is never empty.
	Reason string `yaml:"Reason"`
}

// Key is a caller's key, as its hash only.
type Key struct {
	// Hash is the SHA-256 of the key in lower-case hexadecimal, unique in a
	// document.
	Hash      string          `yaml:"Hash"`
	Workspace fleet.Workspace `yaml:"Workspace"`
	// WithdrawnAt is zero while the key is granted. A withdrawn key stays in
	// the document, so that it is not granted again by mistake.
	WithdrawnAt time.Time `yaml:"WithdrawnAt,omitempty"`
}

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name     fleet.Pool `yaml:"Name"`
	Protocol Protocol   `yaml:"Protocol"`
	// LiveFloor is the number of servers that must remain after the loss of
	// any one failure domain.
	LiveFloor int `yaml:"LiveFloor"`
	// MaxServers bounds what may be ordered.
	MaxServers int `yaml:"MaxServers"`
	// SpotAllowed is whether spot servers may be ordered for the pool.
	SpotAllowed bool `yaml:"SpotAllowed"`
}

// Protocol is what the servers of a pool speak.
type Protocol string

// Route sends the requests under a path to a pool.
type Route struct {
	// Path is the prefix of the URL path, unique in a document. It begins
	// with a slash.
	Path string     `yaml:"Path"`
	Pool fleet.Pool `yaml:"Pool"`
	// Open routes need no key.
	Open bool `yaml:"Open"`
	// Repeatable requests may be run more than once.
	Repeatable bool        `yaml:"Repeatable"`
	Class      fleet.Class `yaml:"Class"`
}

// Setting names a value that has a fleet-wide default.
type Setting string

// Workspace is a tenant.
type Workspace struct {
	Name fleet.Workspace `yaml:"Name"`
}
