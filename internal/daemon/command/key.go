package command

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

const (
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
	// keyPrefix lets people and scanners recognize a key.
	keyPrefix = "lwt_"
	// minHashPrefix is the minimum length of the hash prefix that selects a key.
	minHashPrefix = 8
)

// createdKey is the output of key grant. The key itself is printed once and not
// stored.
type createdKey struct {
	Key     string
	Hash    string
	Applied applied
}

// keyEntry is a key as printed by key list.
type keyEntry struct {
	Hash        string
	Workspace   fleet.Workspace
	WithdrawnAt *time.Time `json:",omitempty"`
}

func (s *session) addKey(a *kingpin.Application) {
	c := a.Command("key", "Grant, withdraw and list keys.")

	grant := c.Command("grant", "Create a key for a workspace. It is shown once; only its hash is stored.")
	workspace := grant.Arg("workspace", "Name of the workspace.").Required().String()
	grantReason := grant.Flag("reason", "Reason, recorded in the history.").Default("key granted").String()
	grant.Action(func(*kingpin.ParseContext) error {
		return s.grantKey(fleet.Workspace(*workspace), *grantReason)
	})

	withdraw := c.Command("withdraw", "Withdraw a key permanently.")
	hash := withdraw.Arg("hash", "Hash of the key, or its first digits.").Required().String()
	withdrawReason := withdraw.Flag("reason", "Reason, recorded in the history.").Default("key withdrawn").String()
	withdraw.Action(func(*kingpin.ParseContext) error {
		r, err := s.edit(*withdrawReason, func(c *config.Config) error {
			return withdrawKey(c, *hash, time.Now())
		})
		if err != nil {
			return err
		}
		return s.printApplied(r, "key withdrawn")
	})

	c.Command("list", "List keys by their hashes.").Action(func(*kingpin.ParseContext) error {
		return s.listKeys()
	})
}

func (s *session) grantKey(w fleet.Workspace, reason string) error {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(b)
	g := createdKey{Key: key, Hash: config.HashKey(key)}
	var err error
	g.Applied, err = s.edit(reason, func(c *config.Config) error {
		if !hasWorkspace(*c, w) {
			return withExitCode(ExitRefused, errors.Errorf("there is no workspace %s", w))
		}
		c.Keys = append(c.Keys, config.Key{Hash: g.Hash, Workspace: w})
		return nil
	})
	if err != nil {
		return err
	}
	return s.print(g, func(out io.Writer) {
		fmt.Fprintf(out, "key: %s\nhash: %s\n", g.Key, g.Hash)
		_ = s.printApplied(g.Applied, "key granted to "+string(w)+", not shown again")
	})
}

func (s *session) listKeys() error {
	c, err := s.current(0)
	if err != nil {
		return err
	}
	var l []keyEntry
	for _, k := range c.Keys {
		e := keyEntry{Hash: k.Hash, Workspace: k.Workspace}
		if !k.WithdrawnAt.IsZero() {
			e.WithdrawnAt = &k.WithdrawnAt
		}
		l = append(l, e)
	}
	return s.print(l, func(w io.Writer) {
		table(w, func(w io.Writer) {
			row(w, "HASH", "WORKSPACE", "STATE")
			for _, e := range l {
				state := "granted"
				if e.WithdrawnAt != nil {
					state = "withdrawn " + e.WithdrawnAt.Format(time.RFC3339)
				}
				row(w, e.Hash, e.Workspace, state)
			}
		})
	})
}

// withdrawKey marks the key whose hash begins with prefix as withdrawn. It fails
// unless exactly one key matches.
func withdrawKey(c *config.Config, prefix string, now time.Time) error {
	if len(prefix) < minHashPrefix {
		return errors.Wrapf(ErrUsage, "a hash needs at least %d digits", minHashPrefix)
	}
	found := -1
	for i, k := range c.Keys {
		if !strings.HasPrefix(k.Hash, strings.ToLower(prefix)) {
			continue
		}
		if found >= 0 {
			return withExitCode(ExitRefused, errors.Errorf("more than one key begins with %s", prefix))
		}
		found = i
	}
	if found < 0 {
		return withExitCode(ExitRefused, errors.Errorf("no key begins with %s", prefix))
	}
	if !c.Keys[found].WithdrawnAt.IsZero() {
		return withExitCode(ExitRefused, errors.New("the key is already withdrawn"))
	}
	c.Keys[found].WithdrawnAt = now.UTC().Truncate(time.Second)
	return nil
}
