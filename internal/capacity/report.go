package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/template"

	"github.com/pkg/errors"
)

// Report holds all series of one run, with the parameters needed to repeat it.
type Report struct {
	Seed    uint64 `json:"seed"`
	Commit  string `json:"commit"`
	Command string `json:"command"`
	// Cores is the number of processor cores of the machine.
	Cores int `json:"cores"`
	// MinLoad and MaxLoad are the lowest and highest load average of the machine
	// during the run.
	MinLoad float64  `json:"min_load"`
	MaxLoad float64  `json:"max_load"`
	Series  []Series `json:"series"`
}

// NewReport fits lines to the observations. The caller fills in the seed, commit,
// command and cores.
func NewReport(observations []Observation) *Report {
	r := &Report{Series: Collect(withPropagation(observations))}
	for i, o := range observations {
		if i == 0 || o.Load < r.MinLoad {
			r.MinLoad = o.Load
		}
		r.MaxLoad = max(r.MaxLoad, o.Load)
	}
	return r
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

const markdownText = `# Measured slopes

Made by ` + "`{{.Command}}`" + ` at commit {{.Commit}}, seed {{.Seed}}, on {{.Cores}} cores
under a load average of {{printf "%.1f" .MinLoad}} to {{printf "%.1f" .MaxLoad}}. Each line is value = fixed + slope * size;
the residual is the standard deviation of the points from the line.
{{range .Groups}}
## Against {{.Against}}
{{with .Target}}
Target: {{number .X}} ({{.From}}).
{{end}}
| figure | unit | fixed | slope | residual | at the target | points |
|---|---|---|---|---|---|---|
{{range .Series}}| {{.Figure}} | {{.Unit}} | {{fixed .}} | {{slope .}} | {{residual .}} | {{target .}} | {{points .}} |
{{end}}{{end}}`

// group holds the series that were measured against one size.
type group struct {
	Against string
	// Target is nil when no target is stated for the size.
	Target *TargetSize
	Series []Series
}

// Groups returns the series grouped by the size they were measured against.
func (r *Report) Groups() []group {
	var groups []group
	for _, s := range r.Series {
		if n := len(groups); n == 0 || groups[n-1].Against != s.Against {
			groups = append(groups, newGroup(s.Against))
		}
		last := &groups[len(groups)-1]
		last.Series = append(last.Series, s)
	}
	return groups
}

func newGroup(against string) group {
	g := group{Against: against}
	if target, known := targetOf(against); known {
		g.Target = &target
	}
	return g
}

// WriteMarkdown writes the report as Markdown tables.
func (r *Report) WriteMarkdown(w io.Writer) error {
	functions := template.FuncMap{
		"fixed":    func(s Series) string { return s.cell(func(f *Fit) float64 { return f.Intercept }) },
		"slope":    func(s Series) string { return s.cell(func(f *Fit) float64 { return f.Slope }) },
		"residual": func(s Series) string { return s.cell(func(f *Fit) float64 { return f.Residual }) },
		"target":   Series.targetCell,
		"points":   Series.pointList,
		"number":   number,
	}
	parsed, err := template.New("report").Funcs(functions).Parse(markdownText)
	if err != nil {
		return errors.Wrap(err, "report template")
	}
	return errors.Wrap(parsed.Execute(w, r), "write report")
}

// noFit is the table cell of a series without a fitted line.
const noFit = "not fitted"

func (s Series) cell(part func(*Fit) float64) string {
	if s.Fit == nil {
		return noFit
	}
	return number(part(s.Fit))
}

func (s Series) targetCell() string {
	value, known := s.AtTarget()
	if !known {
		return noFit
	}
	return number(value)
}

func (s Series) pointList() string {
	parts := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		parts = append(parts, number(p.X)+": "+number(p.Y))
	}
	return strings.Join(parts, ", ")
}

// number formats a value with three significant digits. Values of 1000 and more in
// magnitude are written as integers, so that they get no exponent.
func number(v float64) string {
	const digits = 3
	const large = 1000
	if v >= large || v <= -large {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.*g", digits, v)
}
