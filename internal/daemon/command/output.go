package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// print writes v as JSON if that is the output format, else calls text.
func (s *session) print(v any, text func(w io.Writer)) error {
	if s.output != outputJSON {
		text(s.Stdout)
		return nil
	}
	e := json.NewEncoder(s.Stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "output")
}

// row writes one row of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		texts = append(texts, fmt.Sprint(c))
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// table writes the rows that fill writes, in aligned columns.
func table(w io.Writer, fill func(w io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fill(t)
	_ = t.Flush()
}
