// Package claim keeps a request that may not be repeated from running twice: it
// is claimed in the platform's table, under its request ID, before it is sent.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// Prefix begins the keys of all claims.
const Prefix table.Key = "Claim/"

// KeepLimit bounds the body of an answer that is kept, in bytes.
const KeepLimit = 64 << 10

// Answer is a kept answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Record is the value of a claim's row.
type Record struct {
	// Answer is set once the whole answer was received, unless its body was
	// longer than KeepLimit.
	Answer *Answer
	// At is when the claim was made, by the clock of its maker.
	At time.Time
	// Fingerprint is that of the claimed request's content.
	Fingerprint uint64
	// Token is unique to the claim and tells its maker that a row is its own.
	Token string
	// Workspace and Request are what the key was made of.
	Workspace fleet.Workspace
	Request   fleet.RequestID
}

// Key returns the key of a request's claim. Request IDs are text of callers,
// of any length, and go into the key as a hash.
func Key(w fleet.Workspace, id fleet.RequestID) table.Key {
	h := sha256.Sum256([]byte(id))
	return Prefix + table.Key(string(w)+"/"+hex.EncodeToString(h[:]))
}

func decode(b []byte) (Record, error) {
	var r Record
	err := msgpack.Unmarshal(b, &r)
	return r, errors.Wrap(err, "claim: record")
}

func encode(r Record) ([]byte, error) {
	b, err := msgpack.Marshal(r)
	return b, errors.Wrap(err, "claim: record")
}
