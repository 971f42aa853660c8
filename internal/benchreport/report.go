package benchreport

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/plots"
)

// noiseThreshold is the difference in worth up to which two runs count as equal,
// because the bench's measurements of CPU time vary.
const noiseThreshold = 0.03

// timeLayout is the format of times in the page.
const timeLayout = "2006-01-02 15:04"

// pricesShown is the number of prices that the page lists.
const pricesShown = 6

// site collects the journal entries of one site.
type site struct {
	name   string
	scores []Entry
	// days lists the standard days in the order of the last score.
	days []string
	// hunted is the number of days in hunts. broken describes those that violated
	// a rule or failed.
	hunted int
	broken []string
}

// Write creates dir and writes the page and its plots to it.
func Write(dir string, entries []Entry) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "can't create report directory: choose another directory")
	}
	sites := groupBySite(entries)
	for _, s := range sites {
		axes := plots.Axes{Title: "Worth on " + s.name, X: "score, in order", Y: "worth"}
		if err := plots.Write(filepath.Join(dir, s.name+".svg"), axes, s.series()); err != nil {
			return err
		}
	}
	page, err := os.Create(filepath.Join(dir, "report.md"))
	if err != nil {
		return errors.Wrap(err, "can't create report: choose another directory")
	}
	writePage(page, sites)
	return errors.Wrap(page.Close(), "can't write report")
}

// groupBySite groups scores and hunts by site. It omits sites without a score.
func groupBySite(entries []Entry) []*site {
	bySite := make(map[string]*site)
	for _, e := range entries {
		if e.Error != "" || e.Site == "" {
			continue
		}
		s := bySite[e.Site]
		if s == nil {
			s = &site{name: e.Site}
			bySite[e.Site] = s
		}
		s.add(e)
	}
	var out []*site
	for _, name := range slices.Sorted(maps.Keys(bySite)) {
		if s := bySite[name]; len(s.scores) > 0 {
			s.days = s.standardDays()
			out = append(out, s)
		}
	}
	return out
}

func (s *site) add(e Entry) {
	switch e.Command {
	case commandScore:
		s.scores = append(s.scores, e)
	case commandHunt:
		s.hunted += len(e.Days)
		for _, day := range e.Days {
			if !day.valid() {
				s.broken = append(s.broken, fmt.Sprintf("%s (%s, %s)", day.Name, day.violations(), e.At.Format(timeLayout)))
			}
		}
	}
}

// standardDays returns the days of the last score that earlier scores have too. Other
// days were drawn at random for a single score. If there is only one score, all its
// days are returned.
func (s *site) standardDays() []string {
	count := make(map[string]int)
	for _, score := range s.scores {
		for _, day := range score.Days {
			count[day.Name]++
		}
	}
	var names []string
	for _, day := range s.scores[len(s.scores)-1].Days {
		if count[day.Name] > 1 || len(s.scores) == 1 {
			names = append(names, day.Name)
		}
	}
	return names
}

func (d Day) valid() bool { return len(d.BrokenRules) == 0 && d.Fault == "" }

// violations lists the violated rules with their counts, and the fault.
func (d Day) violations() string {
	var out []string
	for _, rule := range slices.Sorted(maps.Keys(d.BrokenRules)) {
		out = append(out, fmt.Sprintf("%s %d", rule, d.BrokenRules[rule]))
	}
	if d.Fault != "" {
		out = append(out, "fault: "+d.Fault)
	}
	return strings.Join(out, ", ")
}

func (e Entry) day(name string) (Day, bool) {
	i := slices.IndexFunc(e.Days, func(d Day) bool { return d.Name == name })
	if i < 0 {
		return Day{}, false
	}
	return e.Days[i], true
}

func (s *site) series() plots.Series {
	lines := make(plots.Series)
	for i, score := range s.scores {
		for _, name := range s.days {
			if day, ok := score.day(name); ok && day.valid() {
				lines.Add(name, float64(i+1), day.Worth)
			}
		}
	}
	return lines
}

func writePage(w io.Writer, sites []*site) {
	fmt.Fprint(w, "# Runs of the users' bench\n\nWorth by standard day; a day that broke a rule counts as zero.\n")
	for _, s := range sites {
		fmt.Fprintf(w, "\n## %s\n\n![worth](%s.svg)\n\n", s.name, s.name)
		s.writeScores(w)
		s.writeRegressions(w)
		s.writePrices(w)
		s.writeHunts(w)
	}
}

func (s *site) writeScores(w io.Writer) {
	fmt.Fprintf(w, "| at | %s | mean | why |\n|---|%s---|---|\n", strings.Join(s.days, " | "), strings.Repeat("---|", len(s.days)))
	for _, score := range s.scores {
		cells := []string{score.At.Format(timeLayout)}
		total, counted := 0.0, 0
		for _, name := range s.days {
			day, ok := score.day(name)
			if !ok {
				cells = append(cells, "")
				continue
			}
			counted++
			if !day.valid() {
				cells = append(cells, day.violations())
				continue
			}
			total += day.Worth
			cells = append(cells, fmt.Sprintf("%.3f", day.Worth))
		}
		cells = append(cells, fmt.Sprintf("%.3f", total/float64(max(counted, 1))), strings.ReplaceAll(score.Reason, "|", "/"))
		fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	}
}

// writeRegressions lists the days on which the last score is below the best one by
// more than noiseThreshold, or violated a rule.
func (s *site) writeRegressions(w io.Writer) {
	fmt.Fprint(w, "\n")
	last := s.scores[len(s.scores)-1]
	for _, name := range s.days {
		day, _ := last.day(name)
		best, at := s.best(name)
		switch {
		case !day.valid():
			fmt.Fprintf(w, "- %s: rules broken in the last score: %s\n", name, day.violations())
		case best-day.Worth > noiseThreshold:
			fmt.Fprintf(w, "- %s: %.3f in the last score, %.3f at %s\n", name, day.Worth, best, at)
		}
	}
}

// best returns the highest worth of a day over all scores, and the time of that score.
func (s *site) best(name string) (worth float64, at string) {
	for _, score := range s.scores {
		if day, ok := score.day(name); ok && day.valid() && day.Worth > worth {
			worth, at = day.Worth, score.At.Format(timeLayout)
		}
	}
	return worth, at
}

// writePrices lists the highest prices of the last score, as means over the standard
// days.
func (s *site) writePrices(w io.Writer) {
	last := s.scores[len(s.scores)-1]
	sums := make(map[string]float64)
	for _, name := range s.days {
		day, _ := last.day(name)
		for price, cost := range day.Prices {
			sums[price] += cost / float64(len(s.days))
		}
	}
	names := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b], sums[a]), cmp.Compare(a, b))
	})
	fmt.Fprint(w, "\n| price, last score | worth taken off a day |\n|---|---|\n")
	for _, name := range names[:min(pricesShown, len(names))] {
		fmt.Fprintf(w, "| %s | %.4f |\n", name, sums[name])
	}
}

func (s *site) writeHunts(w io.Writer) {
	fmt.Fprintf(w, "\nHunted days: %d, with a rule broken: %d.\n", s.hunted, len(s.broken))
	for _, day := range s.broken {
		fmt.Fprintf(w, "- %s\n", day)
	}
}
