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

func render(t *testing.T, tr *Trace) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := Write(&out, tr); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestGeneratedTraceReadsBackTheSame(t *testing.T) {
	for _, profile := range []Profile{Shrestha(), Litoral()} {
		first := render(t, Generate(profile, 7, 20*time.Second))
		parsed, err := Read(bytes.NewReader(first))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, render(t, parsed)) {
			t.Fatalf("%s: trace changed by a round trip", profile.Settings.Name)
		}
		if !bytes.Equal(first, render(t, Generate(profile, 7, 20*time.Second))) {
			t.Fatalf("%s: same seed gave another trace", profile.Settings.Name)
		}
		if bytes.Equal(first, render(t, Generate(profile, 8, 20*time.Second))) {
			t.Fatalf("%s: another seed gave the same trace", profile.Settings.Name)
		}
	}
}

func TestReadNamesEachMistake(t *testing.T) {
	settings := `{"kind":"settings","settings":{"format":1,"name":"x","duration_ms":5,"routers":1,"directories":1,"engines":[{"name":"e","model":"m"}]}}`
	cases := []struct{ name, text, want string }{
		{"kind", settings + "\n" + `{"kind":"bogus"}`, `line 2: kind "bogus" is not known`},
		{"field", settings + "\n" + `{"kind":"turn","trun":{}}`, `line 2: json: unknown field "trun"`},
		{"member", settings + "\n" + `{"kind":"turn"}`, `has no member "turn"`},
		{"workspace", settings + "\n" + `{"kind":"turn","turn":{"id":"a","workspace":"w","model":"m"}}`, `workspace "w" is not declared`},
		{"action", settings + "\n" + `{"kind":"fault","fault":{"target":"e","action":"explode"}}`, `action "explode" is not known`},
		{"measure", settings + "\n" + `{"kind":"outcome","outcome":{"measure":"joy"}}`, `measure "joy" is not known`},
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

func TestShippedTracesAreReadable(t *testing.T) {
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
		again := render(t, Generate(profile, shipped.Settings.Seed, shipped.Settings.Duration()))
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(data, again) {
			t.Errorf("%s is stale: run make traces", file)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"kind":"settings","settings":{"format":1}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Read(bytes.NewReader(data))
	})
}
