package capacity

import (
	"bytes"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/daemon"
	"github.com/verbenatrail/verbenatrail/internal/declare"
	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/standin/hostserver"
)

func TestFitLineFindsALineWithNoise(t *testing.T) {
	const slope, intercept, noise = 12.0, 34.0, 0.5
	random := rand.New(rand.NewPCG(1, 2))
	var points []Point
	for x := 1.0; x <= 200; x++ {
		points = append(points, Point{X: x, Y: intercept + slope*x + noise*random.NormFloat64()})
	}
	fit, err := FitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(fit.Slope-slope) > 0.01 || math.Abs(fit.Intercept-intercept) > 0.5 {
		t.Errorf("fit = %+v, want slope %v and intercept %v", fit, slope, intercept)
	}
	if fit.Residual < 0.8*noise || fit.Residual > 1.2*noise {
		t.Errorf("residual = %v, want about %v", fit.Residual, noise)
	}
}

func TestFitLineOfTwoPointsHasNoResidual(t *testing.T) {
	fit, err := FitLine([]Point{{X: 4, Y: 10}, {X: 8, Y: 18}})
	if err != nil || fit != (Fit{Intercept: 2, Slope: 2}) {
		t.Errorf("fit = %+v, error = %v", fit, err)
	}
}

func TestFitLineNeedsTwoSizes(t *testing.T) {
	for _, points := range [][]Point{nil, {{X: 1, Y: 1}}, {{X: 4, Y: 1}, {X: 4, Y: 2}}} {
		if _, err := FitLine(points); !errors.Is(err, ErrTooFewPoints) {
			t.Errorf("%v: error = %v, want %v", points, err, ErrTooFewPoints)
		}
	}
}

func observed() []Observation {
	return []Observation{
		{Figure: "ping", Unit: "B/s", Against: "routers", X: 8, Y: 20, Load: 3},
		{Figure: "ping", Unit: "messages/s", Against: "routers", X: 8, Y: 2, Load: 2},
		{Figure: "ping", Unit: "B/s", Against: "routers", X: 4, Y: 12, Load: 1},
		{Figure: "chat", Unit: "s", Against: "chats", X: 1, Y: 0.25, Load: 1},
	}
}

func TestCollectKeepsUnitsApartAndSortsBySize(t *testing.T) {
	series := Collect(observed())
	if len(series) != 3 || series[0].Against != "chats" || series[1].Unit != "B/s" || series[2].Unit != "messages/s" {
		t.Fatalf("series = %+v", series)
	}
	if series[0].Fit != nil {
		t.Errorf("one point was fitted: %+v", *series[0].Fit)
	}
	if first := series[1].Points[0]; first != (Point{X: 4, Y: 12}) {
		t.Errorf("first point = %+v", first)
	}
	if want := (Fit{Intercept: 4, Slope: 2}); series[1].Fit == nil || *series[1].Fit != want {
		t.Errorf("fit = %+v, want %+v", series[1].Fit, want)
	}
}

func TestPropagationTimeGrowsWithDoublings(t *testing.T) {
	figure := propagationFigures[0] + " in force"
	observations := []Observation{
		{Figure: figure, Against: AgainstRouters, X: 8, Y: 0}, {Figure: figure, Against: AgainstRouters, X: 20, Y: 1},
		{Figure: figure, Against: AgainstRouters, X: 40, Y: 1.5}, {Figure: "ping", Against: AgainstRouters, X: 40, Y: 9},
	}
	series := NewReport(observations).Series
	if len(series) != 3 || series[0].Against != againstRouterDoublings || len(series[0].Points) != 2 {
		t.Fatalf("series = %+v", series)
	}
	if fit := series[0].Fit; fit == nil || math.Abs(fit.Slope-0.5) > 1e-9 || math.Abs(fit.Intercept-0.5) > 1e-9 {
		t.Errorf("fit = %+v, want half a second for each doubling", fit)
	}
}

func TestObservationsAreReadAsWritten(t *testing.T) {
	var file bytes.Buffer
	if err := WriteObservations(&file, observed()); err != nil {
		t.Fatal(err)
	}
	got, err := ReadObservations(&file)
	if err != nil || len(got) != len(observed()) || got[3] != observed()[3] {
		t.Errorf("read %+v, error %v", got, err)
	}
	if _, err := ReadObservations(strings.NewReader("{broken")); err == nil {
		t.Error("a malformed file was read without an error")
	}
}

func TestMarkdownNamesRunAndRows(t *testing.T) {
	report := NewReport(observed())
	report.Seed, report.Commit, report.Command, report.Cores = 7, "abc1234", "make capacity SEED=7", 10
	var out bytes.Buffer
	if err := report.WriteMarkdown(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"`make capacity SEED=7` at commit abc1234, seed 7, on 10 cores", "load average of 1.0 to 3.0",
		"## Against routers", "Target: 410 (daemons, taken as routers).",
		"| ping | B/s | 4 | 2 | 0 | 824 | 4: 12, 8: 20 |",
		"| chat | s | not fitted | not fitted | not fitted | not fitted | 1: 0.25 |",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
}

func TestTargetSizesFollowFromTheStatedOnes(t *testing.T) {
	for against, want := range map[string]float64{againstTokens: 354.8, againstOpen: 64220, againstJournal: 17437.5, againstChats: 8780} {
		target, known := targetOf(against)
		if !known || math.Abs(target.X-want) > want/1000 {
			t.Errorf("%s: target = %v, want %v", against, target.X, want)
		}
	}
}

func TestLayoutFilesAreValid(t *testing.T) {
	dir := t.TempDir()
	layout := NewLayout(Size{Routers: 3, Engines: 6, Workspaces: 10, Models: 2, EngineServers: 2}, 1, 24000)
	if err := layout.Write(dir); err != nil {
		t.Fatal(err)
	}
	routerSettings := daemon.DefaultRouterSettings()
	if err := settings.Load(filepath.Join(dir, routerName(2)+".yaml"), &routerSettings); err != nil {
		t.Error(err)
	}
	directorySettings := daemon.DefaultDirectorySettings()
	if err := settings.Load(filepath.Join(dir, "directory-1.yaml"), &directorySettings); err != nil {
		t.Error(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, "hosts.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	hosts, err := hostserver.ParseHosts(data)
	if err != nil || len(hosts) != len(layout.Hosts().Hosts) || hosts[0] != layout.Hosts().Hosts[0] {
		t.Errorf("hosts = %d, error = %v", len(hosts), err)
	}
	if read, err := ReadLayout(dir); err != nil || read.Routers[2] != layout.Routers[2] {
		t.Errorf("layout = %+v, error = %v", read, err)
	}
}

func TestDeclarationsOfASizePassTheCheck(t *testing.T) {
	size := Size{Routers: 1, Engines: 24, Workspaces: 50, Models: 12}
	if err := declare.FromChanges(size.Changes()).Check(); err != nil {
		t.Error(err)
	}
}
