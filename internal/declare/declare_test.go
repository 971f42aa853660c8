package declare

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const valid = `
workspaces:
  - name: quotes
    labels: {team: rental}
    weight: 2
    priority: high
  - name: field
    labels: {team: crews}
engines:
  - name: balaju-1
    model: assistant
    labels: {zone: balaju, size: large}
    capacity: 8
  - name: lalitpur-1
    model: assistant
    labels: {zone: lalitpur}
services:
  - name: booking
    labels: {zone: balaju}
    idempotentCalls:
      - {method: POST, pathPrefix: /quotes}
    instances:
      - name: booking-1
      - name: booking-2
        labels: {zone: lalitpur}
selectors:
  - name: rental
    workspaces: {matchLabels: {team: rental}}
    models: [assistant]
    services: [booking]
    upstreams: {}
  - name: crews
    workspaces:
      matchExpressions:
        - {key: team, operator: In, values: [crews]}
    models: [assistant]
    upstreams:
      matchExpressions:
        - {key: size, operator: DoesNotExist}
`

func parse(t *testing.T, text string) *Source {
	t.Helper()
	source, err := Parse([]File{{Name: "a.yaml", Data: []byte(text)}})
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func TestCompile(t *testing.T) {
	source := parse(t, valid)
	if err := source.Check(); err != nil {
		t.Fatal(err)
	}
	snapshot, err := Compile(&source.Declarations, 7)
	if err != nil {
		t.Fatal(err)
	}
	var pools []string
	for _, pool := range snapshot.Pools {
		pools = append(pools, fmt.Sprintf("%s:%d", pool.Name, len(pool.Upstreams)))
	}
	if got := strings.Join(pools, " "); got != "assistant/crews+rental:1 assistant/rental:1 booking/rental:2" {
		t.Fatal(got)
	}
	names := func(workspace, target string) string {
		var out []string
		for _, u := range snapshot.Candidates(workspace, target) {
			out = append(out, u.Name)
		}
		return strings.Join(out, " ")
	}
	if got := names("quotes", "assistant"); got != "balaju-1 lalitpur-1" {
		t.Fatal(got)
	}
	if got := names("field", "assistant"); got != "lalitpur-1" {
		t.Fatal(got)
	}
	if got := names("field", "booking"); got != "" {
		t.Fatal(got)
	}
	if snapshot.Upstreams["booking-2"].Labels["zone"] != "lalitpur" || snapshot.Upstreams["booking-1"].Labels["zone"] != "balaju" {
		t.Fatal("wrong labels of service instances")
	}
	if !snapshot.Services["booking"].Idempotent("POST", "/quotes/1") {
		t.Fatal("idempotent call pattern is missing in the snapshot")
	}
}

func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse([]File{{Name: "a.yaml", Data: []byte(`workspaces:
  - name: a
    colour: blue
    weight: heavy
selectors:
  - name: s
    workspaces: {}
    models: x
    upstreams:
      matchExpressions:
        - {key: zone, operator: Near}
  - name: s
    workspaces: {}
    upstreams: {}
`)}})
	want := []string{
		`a.yaml:3:5: unknown field "colour": use one of labels, name, priority, weight`,
		`a.yaml:4:13: a whole number is expected here: write digits only`,
		`a.yaml:8:13: a list is expected here: start each item with a dash`,
		`a.yaml:11:12: unknown operator "Near": use In, NotIn, Exists or DoesNotExist`,
		`a.yaml:12:5: selector/s is declared twice: remove one; the other is at a.yaml:6:5`,
	}
	if got := fmt.Sprint(err); got != strings.Join(want, "\n") {
		t.Fatal(got)
	}
	_, err = Parse([]File{{Name: "b.yaml", Data: []byte("workspaces: [\n")}})
	if got := fmt.Sprint(err); !strings.HasPrefix(got, "b.yaml:1:") {
		t.Fatal(got)
	}
}

func TestCheckReportsAllErrors(t *testing.T) {
	text := strings.NewReplacer(
		"weight: 2", "weight: 2000",
		"models: [assistant]\n    services: [booking]", "models: [assistent]\n    services: [bookings]",
		"values: [crews]", "values: [crew]",
		"name: booking-2", "name: balaju-1",
		"priority: high", "priority: urgent",
	).Replace(valid)
	err := parse(t, text).Check()
	for _, want := range []string{
		"a.yaml:5:13: workspace/quotes: weight is 2000: use 1 to 1000",
		`a.yaml:6:15: workspace/quotes: unknown priority "urgent"`,
		`service/booking/instances/1: upstream name "balaju-1" is taken by engine/balaju-1`,
		`no engine has the model "assistent"`,
		`no service "bookings"`,
		"selector/crews: no workspace matches",
	} {
		if !strings.Contains(fmt.Sprint(err), want) {
			t.Errorf("missing %q in:\n%v", want, err)
		}
	}
}

func TestWorkspaceWithoutUpstream(t *testing.T) {
	text := strings.Replace(valid, "  - name: field\n", "  - name: lonely\n    labels: {team: none}\n  - name: field\n", 1)
	err := parse(t, text).Check()
	if got := fmt.Sprint(err); !strings.HasPrefix(got, "a.yaml:8:13: workspace/lonely: no selector matches") {
		t.Fatal(got)
	}
}

func TestDiffAndApply(t *testing.T) {
	before := parse(t, valid).Declarations
	after := parse(t, strings.NewReplacer("capacity: 8", "capacity: 9", "lalitpur-1", "lalitpur-2").Replace(valid)).Declarations
	changes := Diff(&before, &after)
	var got []string
	for _, c := range changes {
		got = append(got, fmt.Sprintf("%s:%v", c.ObjectPath(), c.Deletes()))
	}
	if s := strings.Join(got, " "); s != "engine/balaju-1:false engine/lalitpur-1:true engine/lalitpur-2:false" {
		t.Fatal(s)
	}
	if applied := before.Apply(changes); !reflect.DeepEqual(*applied, after) {
		t.Fatalf("%+v", applied)
	}
	data, err := after.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil || len(Diff(decoded, &after)) != 0 {
		t.Fatal("declarations differ after encoding and decoding:", err)
	}
}

func TestLoadDirectory(t *testing.T) {
	directory := t.TempDir()
	head, tail, _ := strings.Cut(valid, "selectors:")
	for name, text := range map[string]string{"1.yaml": head, "2.yml": "selectors:" + tail, "notes.txt": "{"} {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	d, err := Load(directory)
	if err != nil || len(d.Selectors) != 2 || len(d.Engines) != 2 {
		t.Fatal(d, err)
	}
}

// TestExamples validates the example declarations of the repository and of
// docs/OPERATORS.md.
func TestExamples(t *testing.T) {
	if _, err := Load("../../examples/declarations"); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```yaml\n")
	text, _, _ := strings.Cut(rest, "```")
	if err := parse(t, text).Check(); err != nil {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("workspaces: [{name: a, labels: {x: [1]}}]\nselectors: {}")
	f.Add("engines: &a\n  - *a\n---\n? [x]\n: y")
	f.Fuzz(func(t *testing.T, text string) {
		source, err := Parse([]File{{Name: "a.yaml", Data: []byte(text)}})
		if err != nil || source.Check() != nil {
			return
		}
		snapshot, err := Compile(&source.Declarations, 1)
		if err != nil {
			t.Fatal("declarations passed Check but do not compile:", err)
		}
		for name := range snapshot.Workspaces {
			if len(snapshot.Grants[name]) == 0 {
				t.Fatalf("workspace %q has no grants", name)
			}
		}
	})
}
