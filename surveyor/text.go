package surveyor

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the fitted lines as a human-readable table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "SLOPE\tAT SIZE 0\tEACH\tFIT\tUNIT\tOF"); err != nil {
		return err
	}
	for _, s := range r.Slopes {
		_, err := fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.3f\t%s\t%s\n", s.Name, s.Line.Intercept, s.Line.Gradient, s.Line.RSquared, s.Unit, s.SizeUnit)
		if err != nil {
			return err
		}
	}
	return t.Flush()
}
