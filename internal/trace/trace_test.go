package trace

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func encode(t *testing.T, tr *Trace) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := Write(&out, tr); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestGeneratedTraceSurvivesRoundTrip(t *testing.T) {
	for _, profile := range []Profile{Shrestha(), Litoral()} {
		first := encode(t, Generate(profile, 7, 20*time.Second))
		parsed, err := Read(bytes.NewReader(first))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, encode(t, parsed)) {
			t.Fatalf("%s: trace differs after a round trip", profile.Settings.Name)
		}
		if !bytes.Equal(first, encode(t, Generate(profile, 7, 20*time.Second))) {
			t.Fatalf("%s: same seed gave a different trace", profile.Settings.Name)
		}
		if bytes.Equal(first, encode(t, Generate(profile, 8, 20*time.Second))) {
			t.Fatalf("%s: different seeds gave the same trace", profile.Settings.Name)
		}
	}
}

func TestReadReportsInvalidRecords(t *testing.T) {
	settings := `{"kind":"settings","settings":{"format":1,"name":"x","duration_ms":5,"routers":1,"directories":1,"engines":[{"name":"e","model":"m"}]}}`
	cases := []struct{ name, text, want string }{
		{"kind", settings + "\n" + `{"kind":"bogus"}`, `line 2: unknown kind "bogus"`},
		{"field", settings + "\n" + `{"kind":"turn","trun":{}}`, `line 2: json: unknown field "trun"`},
		{"member", settings + "\n" + `{"kind":"turn"}`, `has no member "turn"`},
		{"workspace", settings + "\n" + `{"kind":"turn","turn":{"id":"a","workspace":"w","model":"m"}}`, `workspace "w" is not declared`},
		{"action", settings + "\n" + `{"kind":"fault","fault":{"target":"e","action":"explode"}}`, `unknown action "explode"`},
		{"measure", settings + "\n" + `{"kind":"outcome","outcome":{"measure":"joy"}}`, `unknown measure "joy"`},
	}
	for _, c := range cases {
		_, err := Read(strings.NewReader(c.text))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
	if _, err := Read(strings.NewReader("")); !errors.Is(err, ErrNoSettings) {
		t.Errorf("empty: got %v", err)
	}
}

func TestShippedTracesMatchTheirProfiles(t *testing.T) {
	files, err := filepath.Glob("../../traces/*.jsonl")
	if err != nil || len(files) < 2 {
		t.Fatalf("traces: %v %v", files, err)
	}
	for _, file := range files {
		shipped, err := ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		profile, err := ProfileByName(shipped.Settings.Name)
		if err != nil {
			t.Fatal(err)
		}
		generated := encode(t, Generate(profile, shipped.Settings.Seed, shipped.Settings.Duration()))
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(data, generated) {
			t.Errorf("%s is out of date: run make traces", file)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"kind":"settings","settings":{"format":1}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Read(bytes.NewReader(data))
	})
}
