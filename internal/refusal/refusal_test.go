package refusal

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	sourceFile  = "refusal.go"
	callersPage = "../../docs/CALLERS.md"
)

var kindPattern = regexp.MustCompile(`(?m)^\t\w+\s+Kind = "([a-z_]+)"$`)

// declaredKinds returns the kinds declared in sourceFile.
func declaredKinds(t *testing.T) []Kind {
	t.Helper()
	source, err := os.ReadFile(sourceFile)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []Kind
	for _, match := range kindPattern.FindAllStringSubmatch(string(source), -1) {
		kinds = append(kinds, Kind(match[1]))
	}
	if len(kinds) < 20 {
		t.Fatalf("found only %d kinds in %s: kindPattern no longer matches the declarations", len(kinds), sourceFile)
	}
	return kinds
}

// Each kind, and nothing else, must have a table row with its HTTP status in the
// callers' page.
func TestCallersPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile(callersPage)
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[Kind]string)
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) == 6 && strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			rows[Kind(strings.Trim(strings.TrimSpace(cells[1]), "`"))] = strings.TrimSpace(cells[2])
		}
	}
	kinds := declaredKinds(t)
	for _, kind := range kinds {
		want := strconv.Itoa(New(kind, "").HTTPStatus())
		if rows[kind] != want {
			t.Errorf("kind %s has status %s but %s lists %q", kind, want, callersPage, rows[kind])
		}
	}
	if len(rows) != len(kinds) {
		t.Errorf("%d rows in %s, want one for each of %d kinds", len(rows), callersPage, len(kinds))
	}
}

func TestProtoRoundTrip(t *testing.T) {
	want := NewUnknown(UpstreamFailed, "connection to engine closed").WithRetryAfter(1500 * time.Millisecond)
	want.Upstream, want.UpstreamCrashed, want.UpstreamLoad = "engine-1", true, 2.5
	if got := FromProto(want.ToProto()); *got != *want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	recorder := httptest.NewRecorder()
	New(Overloaded, "full").WithRetryAfter(1200*time.Millisecond).WriteHTTP(recorder, "r")
	if got := recorder.Header().Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After = %s, want 2", got)
	}
	if got := recorder.Header().Get("Verbenatrail-Outcome"); got != string(NotRun) {
		t.Errorf("Verbenatrail-Outcome = %s, want %s", got, NotRun)
	}
}
