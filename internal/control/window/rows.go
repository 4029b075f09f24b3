package window

import (
	"fmt"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

// keys builds the keys of one region's rows.
type keys struct {
	region fleet.Region
}

// cursor is the row that contains the window to be reported next.
type cursor struct {
	Window ID
}

// included lists the parts of one incarnation that a sealed window includes.
type included struct {
	Incarnation fleet.Incarnation
	Sequences   []uint64
}

// sealed is the row of a sealed window.
type sealed struct {
	// Body is the report's body, sent unchanged.
	Body  []byte
	Parts []included
}

// storedPart is the row of a part.
type storedPart struct {
	Incarnation fleet.Incarnation
	Part        Part
}

func (k keys) closed(w ID) table.Key {
	return table.Key(fmt.Sprintf("Usage/%s/Closed/%s", k.region, w))
}

func (k keys) cursor() table.Key {
	return table.Key(fmt.Sprintf("Usage/%s/Cursor", k.region))
}

func (k keys) part(w ID, i fleet.Incarnation, sequence uint64) table.Key {
	return table.Key(fmt.Sprintf("%s%s/%020d", k.partsOf(w), i, sequence))
}

func (k keys) parts() table.Key {
	return table.Key(fmt.Sprintf("Usage/%s/Part/", k.region))
}

func (k keys) partsOf(w ID) table.Key {
	return table.Key(fmt.Sprintf("%s%s/", k.parts(), w))
}

func (k keys) sealed(w ID) table.Key {
	return table.Key(fmt.Sprintf("Usage/%s/Sealed/%s", k.region, w))
}

// includes reports whether the sealed window includes a part.
func (s sealed) includes(i fleet.Incarnation, sequence uint64) bool {
	for _, p := range s.Parts {
		if p.Incarnation != i {
			continue
		}
		for _, n := range p.Sequences {
			if n == sequence {
				return true
			}
		}
	}
	return false
}
