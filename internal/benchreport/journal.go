// Package benchreport turns the journal of the users' bench into one page of
// figures and plots: how users were served on each standard day, run by run.
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

// ErrJournal means that the journal can't be read.
var ErrJournal = errors.New("journal can't be read: name the directory with the bench's entries")

// Commands of journal entries.
const (
	commandScore = "score"
	commandHunt  = "hunt"
)

// Entry is one run of the bench.
type Entry struct {
	ID      string
	At      time.Time
	Command string
	Reason  string
	Site    string
	Days    []Day
	// Error says why the run gave no figures, empty when it did.
	Error string
}

// Day is one day that a run played.
type Day struct {
	Name string
	// Worth is what users got, less prices.
	Worth float64
	// Prices are the parts of Worth that were taken off, by name.
	Prices map[string]float64
	// BrokenRules counts the breaches by rule.
	BrokenRules map[string]int
	// Fault says why the day counts for nothing, empty when it counts.
	Fault string
}

// wireEntry is an entry as the bench writes it.
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
	// Parts are rows of a name, its weight and what it came to.
	Parts [][]any `json:"parts"`
	// Prices are rows of a name, an amount and what it cost.
	Prices [][]any        `json:"prices"`
	Rules  map[string]int `json:"rules"`
	Fault  *string        `json:"fault"`
}

// Read returns the entries of a journal in the order of their times. Its error
// is ErrJournal.
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
		return Entry{}, errors.New("it has no time")
	}
	at, err := time.Parse(time.RFC3339, w.At[0])
	if err != nil {
		return Entry{}, err
	}
	e := Entry{ID: w.ID, At: at, Command: w.Cmd, Reason: w.Why, Site: w.Site, Error: text(w.Error)}
	for _, day := range w.Days {
		e.Days = append(e.Days, day.decode())
	}
	return e, nil
}

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func (w wireDay) decode() Day {
	d := Day{Name: w.Name, Prices: make(map[string]float64), BrokenRules: w.Rules, Fault: text(w.Fault)}
	for _, row := range w.Parts {
		if _, weight, value, ok := rowOf(row); ok {
			d.Worth += weight * value
		}
	}
	for _, row := range w.Prices {
		if name, _, cost, ok := rowOf(row); ok {
			d.Prices[name] += cost
			d.Worth -= cost
		}
	}
	return d
}

// rowOf reads a name and two figures; false for a row of another form.
func rowOf(row []any) (name string, first, second float64, ok bool) {
	if len(row) != 3 {
		return "", 0, 0, false
	}
	name, isName := row[0].(string)
	first, isFirst := row[1].(float64)
	second, isSecond := row[2].(float64)
	return name, first, second, isName && isFirst && isSecond
}
