package member

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// FleetKey is the key of the row that names the newest set of each region.
const FleetKey table.Key = "Members/Fleet"

// fleetRow is the value of the row at FleetKey. It is small because every
// daemon reads it about once a second.
type fleetRow struct {
	Sets []setHead
}

// heads is one read of the rows that name the newest configuration and sets.
type heads struct {
	config        fleet.ConfigRevision
	configVersion uint64
	fleet         fleetRow
	fleetVersion  uint64
}

type setHead struct {
	Region   fleet.Region
	Revision member.Revision
}

// SetKey returns the key of the row that holds the set of a region.
func SetKey(r fleet.Region) table.Key {
	return table.Key("Members/Set/" + string(r))
}

// revision returns the revision of a region's newest set, or 0 if it has none.
func (f fleetRow) revision(r fleet.Region) member.Revision {
	for _, s := range f.Sets {
		if s.Region == r {
			return s.Revision
		}
	}
	return 0
}

// withSet returns a copy with the set revision of one region replaced.
func (f fleetRow) withSet(r fleet.Region, v member.Revision) fleetRow {
	n := fleetRow{Sets: []setHead{{Region: r, Revision: v}}}
	for _, s := range f.Sets {
		if s.Region != r {
			n.Sets = append(n.Sets, s)
		}
	}
	return n
}

func decodeHeads(rows []table.Row) (heads, error) {
	h := heads{configVersion: rows[0].Version, fleetVersion: rows[1].Version}
	c, err := config.DecodeHead(rows[0])
	if err != nil {
		return heads{}, err
	}
	h.config = c.Revision
	if rows[1].Version > 0 {
		err = msgpack.Unmarshal(rows[1].Value, &h.fleet)
	}
	return h, errors.Wrap(err, "member: fleet row")
}

func decodeSet(r table.Row) (member.Set, error) {
	var s member.Set
	if r.Version == 0 {
		return s, nil
	}
	return s, errors.Wrap(msgpack.Unmarshal(r.Value, &s), "member: set row")
}

// readHeads reads the heads, all as of one time after the call began.
func readHeads(ctx context.Context, t table.Table) (heads, error) {
	rows, err := t.Read(ctx, config.HeadKey, FleetKey)
	if err != nil {
		return heads{}, errors.Wrap(err, "member: heads")
	}
	return decodeHeads(rows)
}

func readSets(ctx context.Context, t table.Table, regions []fleet.Region) ([]RegionSet, error) {
	if len(regions) == 0 {
		return nil, nil
	}
	keys := make([]table.Key, 0, len(regions))
	for _, r := range regions {
		keys = append(keys, SetKey(r))
	}
	rows, err := t.Read(ctx, keys...)
	if err != nil {
		return nil, errors.Wrap(err, "member: sets")
	}
	sets := make([]RegionSet, 0, len(rows))
	for i, r := range rows {
		s, err := decodeSet(r)
		if err != nil {
			return nil, err
		}
		sets = append(sets, RegionSet{Region: regions[i], Set: s})
	}
	return sets, nil
}
