package averaging

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const pool = 7

// fleetOf drives averagers in rounds; loss is the probability that a message
// is lost.
type fleetOf struct {
	names  []string
	nodes  []*Averager
	random *rand.Rand
	loss   float64
	// order holds the partners that a node has left in its shuffled order, in
	// which membership probes the routers.
	order [][]int
}

func newFleet(n int, seed int64, loss float64) *fleetOf {
	f := &fleetOf{random: rand.New(rand.NewSource(seed)), loss: loss, order: make([][]int, n)}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("router-%03d", i))
		f.nodes = append(f.nodes, New())
		f.setLoad(i, float64(f.random.Intn(20)))
	}
	return f
}

func (f *fleetOf) setLoad(i int, inFlight float64) {
	f.nodes[i].SetLocal([]PoolLoad{{Pool: pool, InFlight: inFlight}})
}

func (f *fleetOf) lost() bool { return f.random.Float64() < f.loss }

func (f *fleetOf) round() {
	for _, i := range f.random.Perm(len(f.nodes)) {
		f.exchange(i, f.partner(i))
	}
}

func (f *fleetOf) partner(i int) int {
	if len(f.order[i]) == 0 {
		f.order[i] = f.random.Perm(len(f.nodes) - 1)
	}
	next := f.order[i][0]
	f.order[i] = f.order[i][1:]
	return (i + 1 + next) % len(f.nodes)
}

func (f *fleetOf) exchange(i, j int) {
	sent := f.nodes[i].BeginRound(len(f.nodes))
	if f.lost() {
		return
	}
	answer := f.nodes[j].Receive(f.names[i], sent)
	if !f.lost() {
		f.nodes[i].Complete(f.names[j], sent, answer)
	}
}

func (f *fleetOf) trueMean() float64 {
	sum := 0.0
	for _, n := range f.nodes {
		sum += n.gossip.local[pool]
	}
	return sum / float64(len(f.nodes))
}

// relativeErrors returns the mean and the highest error over the nodes.
func (f *fleetOf) relativeErrors() (mean, highest float64) {
	want := f.trueMean()
	for i, n := range f.nodes {
		got := loadsOf(n.Means(f.names[i], f.names))[pool]
		e := math.Abs(got-want) / want
		mean += e / float64(len(f.nodes))
		highest = max(highest, e)
	}
	return mean, highest
}

func (f *fleetOf) rounds(n int) {
	for range n {
		f.round()
	}
}

func TestEveryRouterLearnsTheMean(t *testing.T) {
	for _, n := range []int{2, 4, 16, 64, 410} {
		f := newFleet(n, int64(n), 0)
		f.rounds(2 * (roundsFor(n) + 1))
		if _, highest := f.relativeErrors(); highest > 0.05 {
			t.Errorf("%d routers: error %.3f", n, highest)
		}
	}
}

func TestMeanFollowsALoadThatChanges(t *testing.T) {
	for _, n := range []int{4, 64} {
		f := newFleet(n, 1, 0)
		f.rounds(20)
		for i := range n / 2 {
			f.setLoad(i, 200)
		}
		f.rounds(3 * roundsFor(n))
		if _, highest := f.relativeErrors(); highest > 0.05 {
			t.Errorf("%d routers: error %.3f", n, highest)
		}
	}
}

func TestLossIsRepairedByTheNextEpoch(t *testing.T) {
	f := newFleet(64, 2, 0.3)
	f.rounds(30)
	f.loss = 0
	f.rounds(2 * (roundsFor(64) + 1))
	if _, highest := f.relativeErrors(); highest > 0.05 {
		t.Errorf("error %.3f", highest)
	}
}

func TestRestartedRouterJoinsTheEpoch(t *testing.T) {
	f := newFleet(32, 3, 0)
	f.rounds(60)
	f.nodes[0] = New()
	f.setLoad(0, 100)
	f.rounds(3 * roundsFor(32))
	if f.nodes[0].Epoch() < 5 {
		t.Errorf("epoch %d", f.nodes[0].Epoch())
	}
	if _, highest := f.relativeErrors(); highest > 0.05 {
		t.Errorf("error %.3f", highest)
	}
}

func TestManyPoolsAreExchangedInParts(t *testing.T) {
	const pools, routers = 150, 40
	f := newFleet(routers, 7, 0)
	for _, n := range f.nodes {
		var list []PoolLoad
		for p := range uint32(pools) {
			list = append(list, PoolLoad{Pool: p + 1, InFlight: 1 + float64(f.random.Intn(9))})
		}
		n.SetLocal(list)
		if got := len(n.BeginRound(routers).Pools); got > maxPools {
			t.Fatalf("%d pools in a message", got)
		}
	}
	const parts = 3
	f.rounds(2 * (parts*roundsFor(routers) + 1))
	if _, highest := f.relativeErrors(); highest > 0.05 {
		t.Errorf("error %.3f", highest)
	}
}

func TestDepartedRouterIsForgotten(t *testing.T) {
	f := newFleet(4, 4, 0)
	f.rounds(20)
	f.setLoad(3, 0)
	want := f.trueMean() * 4 / 3
	got := loadsOf(f.nodes[0].Means(f.names[0], f.names[:3]))[pool]
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("mean %v, want %v", got, want)
	}
}

// headerBytes is the size of the IP and UDP headers of a datagram.
const headerBytes = 28

func wireBytes(pools int) int {
	d := &peerpb.Datagram{
		From: "router-001", Incarnation: math.MaxUint32, ConfigRevision: 1000,
		Body:     &peerpb.Datagram_Ping{Ping: &peerpb.Ping{Sequence: 1000}},
		Averages: &peerpb.Averages{Epoch: 1000},
	}
	for i := range pools {
		d.Averages.Pools = append(d.Averages.Pools, &peerpb.PoolAverage{Pool: uint32(i) + 1, InFlight: 1.5})
	}
	return proto.Size(d) + headerBytes
}

// TestMeasureAveraging prints the error and the bytes of the ways to learn the
// mean. Set VERBENATRAIL_MEASURE=1 to run it.
func TestMeasureAveraging(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	const pools = 12
	size := wireBytes(pools)
	fmt.Println("routers  way        bytes/router/round  mean-error  highest-error  (12 pools, 2% loss, loads drift)")
	for _, n := range []int{4, 16, 64, 410} {
		mean, highest := driftErrors(n, func(f *fleetOf) { f.round() })
		fmt.Printf("%7d  averaging  %18d  %10.4f  %13.4f\n", n, 4*size, mean, highest)
		fmt.Printf("%7d  full mesh  %18d\n", n, 2*(n-1)*size)
		mean, highest = driftErrorsOfTree(n)
		fmt.Printf("%7d  tree of 4  %18d  %10.4f  %13.4f  (root: %d bytes)\n", n, treeBytes(n, size), mean, highest, 2*4*size)
	}
}

const driftRounds = 100

// drift moves the load of a tenth of the routers by up to two requests.
func (f *fleetOf) drift() {
	for range max(1, len(f.nodes)/10) {
		i := f.random.Intn(len(f.nodes))
		f.setLoad(i, max(0, f.nodes[i].gossip.local[pool]+float64(f.random.Intn(5)-2)))
	}
}

func driftErrors(n int, round func(*fleetOf)) (mean, highest float64) {
	f := newFleet(n, 5, 0.02)
	f.rounds(40)
	for range driftRounds {
		f.drift()
		round(f)
		m, h := f.relativeErrors()
		mean += m / driftRounds
		highest = max(highest, h)
	}
	return mean, highest
}

// treeFanOut is the number of children of a node of the aggregation tree.
const treeFanOut = 4

// treeBytes is the average over the routers: each link carries a sum up and a
// mean down, and both ends count it.
func treeBytes(n, size int) int { return 2 * 2 * (n - 1) * size / n }

// driftErrorsOfTree models sums that rise one level a round and a mean that
// comes down one level a round; a lost message leaves the older value.
func driftErrorsOfTree(n int) (mean, highest float64) {
	f := newFleet(n, 5, 0.02)
	sums, means := make([]float64, n), make([]float64, n)
	heard := make([]float64, n) // the sum that a node's parent heard last
	for round := range 40 + driftRounds {
		f.drift()
		f.treeRound(sums, means, heard)
		if round < 40 {
			continue
		}
		want := f.trueMean()
		for i := range n {
			e := math.Abs(means[i]-want) / want
			mean += e / float64(n) / driftRounds
			highest = max(highest, e)
		}
	}
	return mean, highest
}

func (f *fleetOf) treeRound(sums, means, heard []float64) {
	n := len(f.nodes)
	for i := range n {
		sums[i] = f.nodes[i].gossip.local[pool]
		for child := i*treeFanOut + 1; child <= i*treeFanOut+treeFanOut && child < n; child++ {
			sums[i] += heard[child]
		}
	}
	for i := n - 1; i > 0; i-- {
		if !f.lost() {
			heard[i] = sums[i]
		}
		if !f.lost() {
			means[i] = means[(i-1)/treeFanOut]
		}
	}
	means[0] = sums[0] / float64(n)
}

func BenchmarkExchange(b *testing.B) {
	f := newFleet(64, 6, 0)
	b.ReportAllocs()
	for i := range b.N {
		f.exchange(i%64, (i+1)%64)
	}
}
