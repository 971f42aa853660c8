// Package benchreport summarizes the journal of the users' bench, fleetbench, in a
// Markdown page with plots. It compares the results of the runs for each standard day.
package benchreport

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrJournal means that the journal is missing or has an invalid entry.
var ErrJournal = errors.New("can't read journal: name the directory that holds the bench's entries")

// Commands of journal entries.
const (
	// commandScore rates the standard days of a site.
	commandScore = "score"
	// commandHunt runs many days with varying seeds to find violations of rules.
	commandHunt = "hunt"
)

// Entry is one run of the bench.
type Entry struct {
	ID      string
	At      time.Time
	Command string
	Reason  string
	Site    string
	Days    []Day
	// Error says why the run has no results. It is empty if it has results.
	Error string
}

// Day is the result of one simulated day of a run.
type Day struct {
	Name string
	// Worth is the weighted sum of the parts, which rate the service to users,
	// less the prices.
	Worth float64
	// Prices holds the deductions from Worth by name.
	Prices map[string]float64
	// BrokenRules holds the number of violations by rule.
	BrokenRules map[string]int
	// Fault says why the day is not counted. It is empty for a valid day.
	Fault string
}

// wireEntry is the JSON format of an entry.
type wireEntry struct {
	ID    string    `json:"id"`
	At    []string  `json:"at"`
	Cmd   string    `json:"cmd"`
	Why   string    `json:"why"`
	Site  string    `json:"site"`
	Error *string   `json:"error"`
	Days  []wireDay `json:"days"`
}

type wireDay struct {
	Name string `json:"name"`
	// Parts holds rows of a name, a weight and a value.
	Parts [][]any `json:"parts"`
	// Prices holds rows of a name, an amount and its cost.
	Prices [][]any        `json:"prices"`
	Rules  map[string]int `json:"rules"`
	Fault  *string        `json:"fault"`
}

// Read returns the entries of a journal in chronological order. Its errors wrap
// ErrJournal.
func Read(dir string) ([]Entry, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil || len(paths) == 0 {
		return nil, errors.Wrapf(ErrJournal, "no entries in %s", dir)
	}
	var entries []Entry
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(ErrJournal, err.Error())
		}
		e, err := parse(data)
		if err != nil {
			return nil, errors.Wrapf(ErrJournal, "%s: %v", path, err)
		}
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return entries, nil
}

func parse(data []byte) (Entry, error) {
	var w wireEntry
	if err := json.Unmarshal(data, &w); err != nil {
		return Entry{}, err
	}
	if len(w.At) == 0 {
		return Entry{}, errors.New("entry has no time")
	}
	at, err := time.Parse(time.RFC3339, w.At[0])
	if err != nil {
		return Entry{}, err
	}
	e := Entry{ID: w.ID, At: at, Command: w.Cmd, Reason: w.Why, Site: w.Site, Error: stringOrEmpty(w.Error)}
	for _, day := range w.Days {
		e.Days = append(e.Days, day.decode())
	}
	return e, nil
}

func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func (w wireDay) decode() Day {
	d := Day{Name: w.Name, Prices: make(map[string]float64), BrokenRules: w.Rules, Fault: stringOrEmpty(w.Fault)}
	for _, row := range w.Parts {
		if _, weight, value, ok := parseRow(row); ok {
			d.Worth += weight * value
		}
	}
	for _, row := range w.Prices {
		if name, _, cost, ok := parseRow(row); ok {
			d.Prices[name] += cost
			d.Worth -= cost
		}
	}
	return d
}

// parseRow returns the name and the two numbers of a row. ok is false for a row of
// another format.
func parseRow(row []any) (name string, first, second float64, ok bool) {
	if len(row) != 3 {
		return "", 0, 0, false
	}
	name, isName := row[0].(string)
	first, isFirst := row[1].(float64)
	second, isSecond := row[2].(float64)
	return name, first, second, isName && isFirst && isSecond
}
