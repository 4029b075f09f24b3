package batch

import (
	"slices"
	"strings"
)

// page is one write of results. Pages are never changed, and a page written
// later has a higher version. So the order by version gives each result a
// position that stays the same, whoever reads.
type page struct {
	Name    string
	Version int64
	Count   int
}

// slice is a run of results within one page.
type slice struct {
	Name        string
	Skip, Count int
}

// locate returns where the results from a position on stand, and how many
// results there are in all.
func locate(pages []page, after int) ([]slice, int) {
	slices.SortFunc(pages, func(a, b page) int {
		if a.Version != b.Version {
			return int(a.Version - b.Version)
		}
		return strings.Compare(a.Name, b.Name)
	})
	total := 0
	var out []slice
	for _, p := range pages {
		if skip := max(0, after-total); skip < p.Count {
			out = append(out, slice{Name: p.Name, Skip: skip, Count: p.Count - skip})
		}
		total += p.Count
	}
	return out, total
}
