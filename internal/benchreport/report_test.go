package benchreport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const (
	firstScore = `{"id":"1","at":["2026-01-01T10:00:00Z"],"cmd":"score","why":"a|b","site":"site","error":null,"days":[
		{"name":"quiet","parts":[["whole day",0.5,0.9],["worst windows",0.5,0.8]],"prices":[["machines",4,0.05]],"rules":{},"fault":null},
		{"name":"drawn-1","parts":[["whole day",1,0.5]],"prices":[],"rules":{},"fault":null}]}`
	lastScore = `{"id":"2","at":["2026-01-01T11:00:00Z"],"cmd":"score","why":"later","site":"site","error":null,"days":[
		{"name":"quiet","parts":[["whole day",0.5,0.9],["worst windows",0.5,0.7]],"prices":[["machines",4,0.06],["odd row"]],"rules":{},"fault":null}]}`
	hunt = `{"id":"3","at":["2026-01-01T12:00:00Z"],"cmd":"hunt","site":"site","error":null,"days":[
		{"name":"mix --seed 7","parts":[],"prices":[],"rules":{"LOST":4},"fault":null},
		{"name":"quiet --seed 8","parts":[],"prices":[],"rules":{},"fault":null}]}`
	failedRun = `{"id":"4","at":["2026-01-01T13:00:00Z"],"cmd":"score","site":"site","error":"the build failed","days":null}`
)

// writeJournal writes entries to a new directory and returns its path.
func writeJournal(t *testing.T, entries ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i, entry := range entries {
		if err := os.WriteFile(filepath.Join(dir, string(rune('a'+i))+".json"), []byte(entry), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func TestReport(t *testing.T) {
	entries, err := Read(writeJournal(t, lastScore, hunt, failedRun, firstScore))
	if err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(t.TempDir(), "report")
	if err := Write(out, entries); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(out, "report.md"))
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, want := range []string{
		"| at | quiet | mean | why |",
		"| 2026-01-01 10:00 | 0.800 | 0.800 | a/b |",
		"| 2026-01-01 11:00 | 0.740 | 0.740 | later |",
		"- quiet: 0.740 in the last score, 0.800 at 2026-01-01 10:00",
		"| machines | 0.0600 |",
		"Hunted days: 2, with a rule broken: 1.",
		"- mix --seed 7 (LOST 4, 2026-01-01 12:00)",
	} {
		if !strings.Contains(page, want) {
			t.Errorf("%q is missing in\n%s", want, page)
		}
	}
	if _, err := os.Stat(filepath.Join(out, "site.svg")); err != nil {
		t.Error(err)
	}
}

func TestReadRejectsInvalidJournals(t *testing.T) {
	for name, entries := range map[string][]string{
		"empty": nil, "no JSON": {"{"}, "no time": {`{"at":[]}`}, "a broken time": {`{"at":["today"]}`},
	} {
		if _, err := Read(writeJournal(t, entries...)); !errors.Is(err, ErrJournal) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(firstScore))
	f.Fuzz(func(_ *testing.T, data []byte) {
		e, err := parse(data)
		if err == nil && e.Command == commandScore {
			groupBySite([]Entry{e})
		}
	})
}
