package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/model/experiment"
)

// Page contains the data of the page of measures and its plots.
type Page struct {
	Blocks   []experiment.Block
	Variants []experiment.Variant
	// First is the first seed, and Seeds the number of seeds.
	First uint64
	Seeds int
	// Notes is the Markdown text after the tables.
	Notes string
}

const heading = `# Measures

This page is written by ` + "`make measure`" + `; the same seeds give the same page.

A model of the backend servers (batching, a prefix cache in limited memory, load
reports that lag by a second, a VM list that lags by 15 s) replays arrivals and
faults in virtual time through the decision values that the daemons run:
` + "`control/cell`" + ` for admission, order and placement, and ` + "`control/server`" + ` for
what may get work. Trainers, the roll-out of weights, moving of stragglers and
usage windows are the model's own stand-ins. Nothing here was measured on real
engines. Each run is 30 minutes long.

- *Trainer idle*: the part of the time after its first step that a trainer waited for a batch.
- *Staleness*: how many weight versions used samples were behind their trainer, on the mean.
- *Worst-served workspace*: the one with the longest 99th percentile of the wait for the first
  token, and the one with the fewest answers whole within 30 s. The workspace that overloads
  the system on purpose is left out.
- *Cost*: a standard server counts 1 an hour and a spot server 0.35.
- Wrong usage reports are not modelled here; see PROOF.md.

Figures are means over the seeds, with the least and the most in brackets.
`

// Write writes the page as Markdown.
func (p *Page) Write(w io.Writer) error {
	var b strings.Builder
	b.WriteString(heading)
	fmt.Fprintf(&b, "\nSeeds: %d to %d.\n", p.First, p.First+uint64(p.Seeds)-1)
	p.writeComparisons(&b)
	last := ""
	for i := range p.Blocks {
		block := &p.Blocks[i]
		if block.Deployment != last {
			fmt.Fprintf(&b, "\n## %s\n", block.Deployment)
			p.writePlots(&b, block.Deployment)
			last = block.Deployment
		}
		p.writeBlock(&b, block)
	}
	b.WriteString(p.Notes)
	_, err := io.WriteString(w, b.String())
	return err
}

func (p *Page) writeBlock(b *strings.Builder, block *experiment.Block) {
	fmt.Fprintf(b, "\n### %s, %s\n\n", block.Deployment, block.Scenario)
	b.WriteString("| Policy |")
	measures := Measures()
	for _, m := range measures {
		fmt.Fprintf(b, " %s (%s) |", m.Name, m.Unit)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(measures)) + "\n")
	for i, v := range p.Variants {
		fmt.Fprintf(b, "| %s |", v.Name)
		for _, m := range measures {
			fmt.Fprintf(b, " %s |", m.text(m.summarize(block.Results[i])))
		}
		b.WriteString("\n")
	}
}

func (p *Page) writePlots(b *strings.Builder, deployment string) {
	b.WriteString("\n")
	for _, f := range figures() {
		if f.deployment == deployment {
			fmt.Fprintf(b, "![%s](plots/%s)\n", f.title(), f.file())
		}
	}
}

// writeComparisons writes how the system compares with each baseline on the
// measures that matter most to each deployment.
func (p *Page) writeComparisons(b *strings.Builder) {
	b.WriteString("\n## Against the baselines\n\nOn the measures that each deployment weighs most, by the means; a difference within 2 % or the last digit shown is *equal*.\n")
	for _, f := range figures() {
		fmt.Fprintf(b, "\n**%s, %s**\n\n| Scenario |", f.deployment, f.measure.Name)
		for _, v := range p.Variants[1:] {
			fmt.Fprintf(b, " %s |", v.Name)
		}
		b.WriteString("\n|---|" + strings.Repeat("---|", len(p.Variants)-1) + "\n")
		for i := range p.Blocks {
			block := &p.Blocks[i]
			if block.Deployment != f.deployment {
				continue
			}
			fmt.Fprintf(b, "| %s |", block.Scenario)
			system := f.measure.summarize(block.Results[0])
			for _, r := range block.Results[1:] {
				fmt.Fprintf(b, " %s |", f.measure.compare(system, f.measure.summarize(r)))
			}
			b.WriteString("\n")
		}
	}
}
