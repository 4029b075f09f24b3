package batch

import (
	"slices"
	"strings"
)

// page is one write of results. Pages are never changed, and a page written
// later has a higher version. So ordering pages by version gives each result a
// fixed position, the same for all readers.
type page struct {
	Name    string
	Version int64
	Count   int
	// Positions are the positions in the job of the items that have the results; nil
	// if they are not stored.
	Positions []int
}

// pageRange is a range of results within one page.
type pageRange struct {
	Name        string
	Skip, Count int
}

// locate returns the ranges that contain the results from a position on, and
// the total number of results.
func locate(pages []page, after int) ([]pageRange, int) {
	slices.SortFunc(pages, func(a, b page) int {
		if a.Version != b.Version {
			return int(a.Version - b.Version)
		}
		return strings.Compare(a.Name, b.Name)
	})
	total := 0
	var out []pageRange
	for _, p := range pages {
		if skip := max(0, after-total); skip < p.Count {
			out = append(out, pageRange{Name: p.Name, Skip: skip, Count: p.Count - skip})
		}
		total += p.Count
	}
	return out, total
}
