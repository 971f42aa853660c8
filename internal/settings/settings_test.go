package settings

import (
	"strings"
	"testing"
	"time"
)

type common struct {
	Name string `yaml:"name" validate:"required"`
}

type limits struct {
	Timeout Duration `yaml:"timeout" validate:"gt=0"`
	Slots   int      `yaml:"slots" validate:"gte=1"`
}

type testRoot struct {
	Common common `yaml:",inline"`
	Limits limits `yaml:"limits"`
}

func defaults() testRoot {
	return testRoot{Limits: limits{Timeout: Duration(time.Second), Slots: 4}}
}

func TestParseKeepsDefaults(t *testing.T) {
	cases := map[string]string{
		"one value":       "name: a\nlimits:\n  timeout: 250ms\n",
		"a comment first": "# settings\nname: a\nlimits: {timeout: 250ms}\n",
	}
	for name, text := range cases {
		s := defaults()
		if err := Parse("test", []byte(text), &s); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if s.Common.Name != "a" || s.Limits.Timeout.Std() != 250*time.Millisecond || s.Limits.Slots != 4 {
			t.Errorf("%s: got %+v", name, s)
		}
	}
}

// All invalid settings are listed under their paths in the file. An empty file
// keeps the defaults: Unmarshal sets the fields to zero for it.
func TestParseListsValidationErrors(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{"name: must satisfy required"}},
		{"only a comment", "# nothing yet\n", []string{"name: must satisfy required"}},
		{"empty section", "name: a\nlimits:\n", nil},
		{"two errors", "limits: {slots: 0}", []string{"name: must satisfy required", "limits.slots: must satisfy gte=1"}},
		{"unknown field", "name: a\nslots: 3", []string{"unknown field", "slots"}},
		{"invalid duration", "name: a\nlimits: {timeout: fast}", []string{"not a valid duration"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := defaults()
			err := Parse("test", []byte(c.text), &s)
			if (err == nil) != (c.want == nil) {
				t.Fatalf("error = %v, want %v", err, c.want)
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error = %v, want %q in it", err, want)
				}
			}
			if err != nil && strings.Contains(err.Error(), "limits.timeout") {
				t.Errorf("error = %v names a setting that has a default", err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("name: a\nlimits: {timeout: 1s}")
	f.Fuzz(func(_ *testing.T, text string) {
		s := defaults()
		_ = Parse("fuzz", []byte(text), &s)
	})
}
