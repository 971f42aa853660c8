package placement_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// defaultHeadroom is the default of admission.Settings.Headroom.
const defaultHeadroom = 0.15

func policies() []policy {
	rendezvous := byStrategy(placement.Rendezvous{})
	all := []policy{
		{name: "random", unbounded: true, rank: byStrategy(placement.Random{})},
		{name: "least-loaded", unbounded: true, rank: byStrategy(placement.LeastLoaded{})},
		{name: "least-of-two", unbounded: true, rank: byStrategy(placement.LeastOfTwo{})},
		{name: "modulo", unbounded: true, rank: byStrategy(placement.Modulo{})},
		{name: "modulo, bounded", rank: byStrategy(placement.Modulo{})},
		{name: "rendezvous", unbounded: true, rank: rendezvous},
		{name: "rendezvous, bounded", rank: rendezvous},
		{name: "  planned, wait x3", planned: true, cacheWaitFactor: 3, rank: rendezvous},
		{name: "  affinity", planned: true, usesAffinity: true, rank: rendezvous},
		{name: "  affinity, wait x1", planned: true, usesAffinity: true, cacheWaitFactor: 1, rank: rendezvous},
		{name: "  affinity, wait x2", planned: true, usesAffinity: true, cacheWaitFactor: 2, rank: rendezvous},
		{name: "  affinity, wait x3", planned: true, usesAffinity: true, cacheWaitFactor: 3, rank: rendezvous},
		{name: "  affinity, wait x4", planned: true, usesAffinity: true, cacheWaitFactor: 4, rank: rendezvous},
		{name: "oracle, bounded", rank: oracle},
		{name: "  planned, wait x3", planned: true, cacheWaitFactor: 3, rank: oracle},
		{name: "oracle, no bound", unbounded: true, rank: oracle},
	}
	for i := range all {
		all[i].headroom = defaultHeadroom
	}
	return all
}

// measureSeed is the seed of the generated arrivals.
const measureSeed = 1

// TestMeasurePlacement prints cache reuse and load skew of the policies. Set
// VERBENATRAIL_MEASURE=1 to run it.
func TestMeasurePlacement(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	for _, mean := range []float64{3, 8, 20, 60} {
		arrivals := generateArrivals(mean, measureSeed)
		fmt.Printf("\nmean in flight %.0f, %d turns, seed %d, headroom %.2f\n", mean, len(arrivals), measureSeed, defaultHeadroom)
		printHeader()
		for _, p := range policies() {
			printResult(p.name, newReplay(p, mean, time.Second).run(arrivals))
		}
	}
}

// TestMeasureHeadroom prints cache reuse and load skew for several values of the
// headroom and of the lag of the mean. Set VERBENATRAIL_MEASURE=1 to run it.
func TestMeasureHeadroom(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	for _, mean := range []float64{3, 8, 20, 60} {
		arrivals := generateArrivals(mean, measureSeed)
		fmt.Printf("\nmean in flight %.0f, %d turns, seed %d\n", mean, len(arrivals), measureSeed)
		printHeader()
		for _, headroom := range []float64{0, 0.05, 0.1, 0.15, 0.2} {
			p := policy{planned: true, usesAffinity: true, cacheWaitFactor: 3, headroom: headroom, rank: byStrategy(placement.Rendezvous{})}
			printResult(fmt.Sprintf("headroom %.2f", headroom), newReplay(p, mean, time.Second).run(arrivals))
		}
		p := policy{planned: true, usesAffinity: true, cacheWaitFactor: 3, headroom: defaultHeadroom, rank: byStrategy(placement.Rendezvous{})}
		printResult("  lag 3 s", newReplay(p, mean, 3*time.Second).run(arrivals))
	}
}

// TestMeasureDisturbances prints cache reuse and moved turns while engines are
// lost or flap, or the lists of the routers differ. Set VERBENATRAIL_MEASURE=1 to
// run it.
func TestMeasureDisturbances(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	noHoldDown := membership.DefaultSettings()
	noHoldDown.HoldDown, noHoldDown.MaxHoldDown = 1, 1
	base := policy{
		planned: true, usesAffinity: true, cacheWaitFactor: 3, headroom: defaultHeadroom,
		holdDown: membership.DefaultSettings(), rank: byStrategy(placement.Rendezvous{}),
	}
	byEngine, asNew := base, base
	byEngine.byEngine = true
	asNew.byEngine, asNew.unknownIsNew = true, true
	stale, flapping, noAffinity, loss := base, base, base, base
	loss.losesDomain = true
	stale.staleLists = true
	flapping.flapping = true
	noAffinity.flapping, noAffinity.usesAffinity = true, false
	const mean = 20
	arrivals := generateArrivals(mean, measureSeed)
	fmt.Printf("\nmean in flight %d, seed %d\n", mean, measureSeed)
	for _, line := range []struct {
		name     string
		policy   policy
		holdDown membership.Settings
	}{
		{"undisturbed", base, base.holdDown},
		{"router by first engine", byEngine, base.holdDown},
		{"router by first engine, as new", asNew, base.holdDown},
		{"three of twelve engines lost", loss, base.holdDown},
		{"lists differ for 5 s", stale, base.holdDown},
		{"flapping, hold-down", flapping, base.holdDown},
		{"flapping, no hold-down", flapping, noHoldDown},
		{"flapping, hold-down, no affinity", noAffinity, base.holdDown},
		{"flapping, no hold-down, no affinity", noAffinity, noHoldDown},
	} {
		line.policy.holdDown = line.holdDown
		r := newReplay(line.policy, mean, time.Second).run(arrivals)
		fmt.Printf("%-36s reuse %.3f  moved %.2f%%  over %.2f%%  refused %.2f%%  uneven at 7m30s for %v\n", line.name, r.reuse(),
			percent(r.moved, r.turns), percent(r.over, r.samples), percent(r.refused, r.turns), r.unevenAfterLoss)
	}
}

func printHeader() {
	fmt.Println("policy               reuse  samples-over  of-surge  worst-ratio  worst-excess  placed-over  refused  wait-p50  wait-p99")
}

func printResult(name string, r result) {
	fmt.Printf("%-20s %.3f  %11.2f%%  %7.2f%%  %11.2f  %12.2f  %10.2f%%  %6.2f%%  %8v  %8v\n", name, r.reuse(),
		percent(r.over, r.samples), percent(r.overSurge, r.samples), r.worstRatio, r.worstExcess,
		percent(r.overAtPlacing, r.turns), percent(r.refused, r.turns), r.waitAt(0.5), r.waitAt(0.99))
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(whole) }
