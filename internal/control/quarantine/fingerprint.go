// Package quarantine detects requests that crash the backend servers that run
// them, and prevents them from running again.
package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Fingerprint identifies the contents of a request. All its repeats within one
// workspace, by any caller, have the same fingerprint.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request with the given parts.
func FingerprintOf(w fleet.Workspace, parts ...string) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	add(&h, string(w))
	for _, p := range parts {
		add(&h, p)
	}
	return Fingerprint(h.Sum64())
}

// FingerprintOfBody returns the fingerprint of a request with the given parts and, as its last
// part, a body, which it does not copy.
func FingerprintOfBody(w fleet.Workspace, body []byte, parts ...string) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	add(&h, string(w))
	for _, p := range parts {
		add(&h, p)
	}
	addLength(&h, len(body))
	// Writes to a Digest never fail.
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// add writes the length before the text, so that no two lists of parts hash the
// same bytes.
func add(h *xxhash.Digest, s string) {
	addLength(h, len(s))
	_, _ = h.WriteString(s)
}

func addLength(h *xxhash.Digest, length int) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(length))
	// Writes to a Digest never fail.
	_, _ = h.Write(n[:])
}
