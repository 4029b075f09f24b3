// Package claim prevents requests that must not be repeated from running twice:
// each is claimed in the platform's table under its request ID before it is sent.
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

// Prefix is the key prefix of all claims.
const Prefix table.Key = "Claim/"

// MaxAnswerBytes is the maximum size of a kept answer's body.
const MaxAnswerBytes = 64 << 10

// Answer is a backend server's answer that is kept for repeats of the request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Record is the value of a claim's row.
type Record struct {
	// Answer is set once the complete answer was received, unless its body was
	// longer than MaxAnswerBytes.
	Answer *Answer
	// At is when the claim was made, by the clock of the daemon that made it.
	At time.Time
	// Fingerprint is the fingerprint of the claimed request's content.
	Fingerprint uint64
	// Token is unique to the claim: a row with this token was written by this
	// claim.
	Token string
	// Workspace and Request are the inputs of the row's key.
	Workspace fleet.Workspace
	Request   fleet.RequestID
}

// Key returns the key of a request's claim. The request ID is hashed because
// callers choose its text and length freely.
func Key(w fleet.Workspace, id fleet.RequestID) table.Key {
	h := sha256.Sum256([]byte(id))
	return Prefix + table.Key(string(w)+"/"+hex.EncodeToString(h[:]))
}

func decode(b []byte) (Record, error) {
	var r Record
	err := msgpack.Unmarshal(b, &r)
	return r, errors.Wrap(err, "claim: decode record")
}

func encode(r Record) ([]byte, error) {
	b, err := msgpack.Marshal(r)
	return b, errors.Wrap(err, "claim: encode record")
}
