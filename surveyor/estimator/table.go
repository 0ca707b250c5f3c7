package estimator

import (
	"fmt"
	"math"
	"strings"

	"agatevalve/surveyor"
)

// Units of the figures.
const (
	rate       = "bytes/s"
	core       = "% of a core"
	megabytes  = "MB"
	reads      = "reads/s"
	writesUnit = "writes/s"
)

// Row is one figure, for the design that ships and the proposed one.
type Row struct {
	What     string
	Unit     string
	Ships    float64
	Proposed float64
	// Limit is 0 when the row has none.
	Limit float64
	// How tells which slope was multiplied by what.
	How string
}

// Table is a table of the page.
type Table struct {
	// Name is the name in the page's marks.
	Name string
	Rows []Row
}

// Markdown returns the table as it stands on the page.
func (t Table) Markdown() string {
	var b strings.Builder
	b.WriteString("| what | unit | ships | proposed | limit | ships against it | proposed against it | worked out as |\n")
	b.WriteString("|---|---|--:|--:|--:|---|---|---|\n")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.What, r.Unit,
			figure(r.Ships), figure(r.Proposed), r.limit(), r.verdict(r.Ships), r.verdict(r.Proposed), r.How)
	}
	return b.String()
}

func (r Row) limit() string {
	if r.Limit == 0 {
		return ""
	}
	return figure(r.Limit)
}

// Breaks reports whether the proposed design breaks the row's limit.
func (r Row) Breaks() bool { return r.Limit > 0 && r.Proposed > r.Limit }

func (r Row) verdict(value float64) string {
	switch {
	case r.Limit == 0:
		return ""
	case value > r.Limit:
		return fmt.Sprintf("**breaks**, %s times", figure(value/r.Limit))
	default:
		return fmt.Sprintf("holds, %.0f %% left", 100*(1-value/r.Limit))
	}
}

// figure writes three digits, with commas between thousands.
func figure(value float64) string {
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
	text := commas(fmt.Sprintf("%.0f", math.Round(math.Abs(value)/unit)*unit))
	if value < 0 {
		return "-" + text
	}
	return text
}

func commas(digits string) string {
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}

// slopesTable lists the slopes with their points.
func slopesTable(r surveyor.Report) string {
	var b strings.Builder
	b.WriteString("| slope | unit | at size 0 | each | of | fit | points (size: cost) | what is measured |\n")
	b.WriteString("|---|---|--:|--:|---|--:|---|---|\n")
	for _, s := range r.Slopes {
		points := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			points = append(points, figure(p.Size)+": "+figure(p.Cost))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.3f | %s | %s |\n", s.Name, s.Unit,
			figure(s.Line.Base), figure(s.Line.Each), s.Per, s.Line.Fit, strings.Join(points, ", "), s.Method)
	}
	return b.String()
}
