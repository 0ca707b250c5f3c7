package estimator

import (
	"fmt"
	"math"
	"strings"

	"agatevalve/surveyor"
)

// Units of the rows.
const (
	unitBytesPerSecond  = "bytes/s"
	unitCorePercent     = "% of a core"
	unitMegabytes       = "MB"
	unitReadsPerSecond  = "reads/s"
	unitWritesPerSecond = "writes/s"
)

// Row holds one quantity for the shipped and for the proposed design.
type Row struct {
	Label    string
	Unit     string
	Shipped  float64
	Proposed float64
	// Limit is 0 if the quantity has no limit.
	Limit float64
	// Formula describes the computation: which slope is multiplied by what.
	Formula string
}

// Table is one table of the capacity page.
type Table struct {
	// Name is the name in the page's markers.
	Name string
	Rows []Row
}

// Markdown returns the table as Markdown, as it is inserted into the page.
func (t Table) Markdown() string {
	var b strings.Builder
	b.WriteString("| what | unit | ships | proposed | limit | ships against it | proposed against it | worked out as |\n")
	b.WriteString("|---|---|--:|--:|--:|---|---|---|\n")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Label, r.Unit,
			formatFigure(r.Shipped), formatFigure(r.Proposed), r.limitText(), r.verdict(r.Shipped), r.verdict(r.Proposed), r.Formula)
	}
	return b.String()
}

// limitText returns the limit as text, or nothing if there is none.
func (r Row) limitText() string {
	if r.Limit == 0 {
		return ""
	}
	return formatFigure(r.Limit)
}

// ExceedsLimit reports whether the proposed design exceeds the row's limit.
func (r Row) ExceedsLimit() bool { return r.Limit > 0 && r.Proposed > r.Limit }

// verdict states whether value is within the row's limit, and by how much.
func (r Row) verdict(value float64) string {
	switch {
	case r.Limit == 0:
		return ""
	case value > r.Limit:
		return fmt.Sprintf("**breaks**, %s times", formatFigure(value/r.Limit))
	default:
		return fmt.Sprintf("holds, %.0f %% left", 100*(1-value/r.Limit))
	}
}

// formatFigure rounds value to three significant digits and separates thousands
// with commas.
func formatFigure(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(value))))
	if digits >= 0 {
		text := fmt.Sprintf("%.*f", digits, value)
		if strings.Contains(text, ".") {
			text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
		}
		return text
	}
	unit := math.Pow(10, float64(-digits))
	text := groupThousands(fmt.Sprintf("%.0f", math.Round(math.Abs(value)/unit)*unit))
	if value < 0 {
		return "-" + text
	}
	return text
}

func groupThousands(digits string) string {
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// slopesTable returns a Markdown table of the slopes and their points.
func slopesTable(r surveyor.Report) string {
	var b strings.Builder
	b.WriteString("| slope | unit | at size 0 | each | of | fit | points (size: cost) | what is measured |\n")
	b.WriteString("|---|---|--:|--:|---|--:|---|---|\n")
	for _, s := range r.Slopes {
		points := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			points = append(points, formatFigure(p.Size)+": "+formatFigure(p.Cost))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.3f | %s | %s |\n", s.Name, s.Unit,
			formatFigure(s.Line.Intercept), formatFigure(s.Line.Gradient), s.SizeUnit, s.Line.RSquared, strings.Join(points, ", "), s.Method)
	}
	return b.String()
}
