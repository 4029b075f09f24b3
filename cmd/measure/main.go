// Command measure replays seeded traces in virtual time through the admission and
// server selection code of the daemons, and writes the page of measures and its
// plots.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/seed"
	"github.com/lacewingtally/lacewingtally/internal/model/experiment"
	"github.com/lacewingtally/lacewingtally/internal/model/report"
)

// gcPercent trades memory for fewer garbage collections.
const gcPercent = 400

func main() {
	app := kingpin.New("measure", "Measure admission and server selection on seeded traces.")
	seeds := app.Flag("seeds", "number of consecutive seeds; "+seed.EnvVar+" sets the first").Default("5").Int()
	dir := app.Flag("output", "directory for MEASURES.md and plots").Default("docs").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	debug.SetGCPercent(gcPercent)
	if err := run(*seeds, *dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seeds int, dir string) error {
	variants := experiment.Variants()
	p := report.Page{
		Blocks:   experiment.RunAll(variants, seed.Value(), seeds),
		Variants: variants,
		First:    seed.Value(),
		Seeds:    seeds,
		Notes:    report.Notes,
	}
	if err := p.Write(os.Stdout); err != nil {
		return err
	}
	if err := p.Plot(filepath.Join(dir, "plots")); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "MEASURES.md"))
	if err != nil {
		return errors.Wrap(err, "measure")
	}
	if err := p.Write(f); err != nil {
		return errors.Wrap(err, "measure")
	}
	return errors.Wrap(f.Close(), "measure")
}
