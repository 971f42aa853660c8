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

// testFleet runs averagers in rounds; loss is the probability that a message is
// lost.
type testFleet struct {
	names  []string
	nodes  []*Averager
	random *rand.Rand
	loss   float64
	// order holds, for each node, the rest of its shuffled list of partners.
	// Package membership probes the routers in such an order.
	order [][]int
}

func newFleet(n int, seed int64, loss float64) *testFleet {
	f := &testFleet{random: rand.New(rand.NewSource(seed)), loss: loss, order: make([][]int, n)}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("router-%03d", i))
		f.nodes = append(f.nodes, New())
		f.setLoad(i, float64(f.random.Intn(20)))
	}
	return f
}

func (f *testFleet) setLoad(i int, inFlight float64) {
	f.nodes[i].SetLocal([]PoolLoad{{Pool: pool, InFlight: inFlight}})
}

func (f *testFleet) lost() bool { return f.random.Float64() < f.loss }

func (f *testFleet) round() {
	for _, i := range f.random.Perm(len(f.nodes)) {
		f.exchange(i, f.partner(i))
	}
}

func (f *testFleet) partner(i int) int {
	if len(f.order[i]) == 0 {
		f.order[i] = f.random.Perm(len(f.nodes) - 1)
	}
	next := f.order[i][0]
	f.order[i] = f.order[i][1:]
	return (i + 1 + next) % len(f.nodes)
}

func (f *testFleet) exchange(i, j int) {
	sent := f.nodes[i].BeginRound(len(f.nodes))
	if f.lost() {
		return
	}
	reply := f.nodes[j].Receive(f.names[i], sent)
	if !f.lost() {
		f.nodes[i].Complete(f.names[j], sent, reply)
	}
}

func (f *testFleet) trueMean() float64 {
	sum := 0.0
	for _, n := range f.nodes {
		sum += n.gossip.local[pool]
	}
	return sum / float64(len(f.nodes))
}

// relativeErrors returns the mean and the highest relative error of the nodes.
func (f *testFleet) relativeErrors() (mean, highest float64) {
	want := f.trueMean()
	for i, n := range f.nodes {
		got := loadsOf(n.Means(f.names[i], f.names))[pool]
		e := math.Abs(got-want) / want
		mean += e / float64(len(f.nodes))
		highest = max(highest, e)
	}
	return mean, highest
}

func (f *testFleet) rounds(n int) {
	for range n {
		f.round()
	}
}

func TestEstimatesConvergeToMean(t *testing.T) {
	for _, n := range []int{2, 4, 16, 64, 410} {
		f := newFleet(n, int64(n), 0)
		f.rounds(2 * (roundsPerEpoch(n) + 1))
		if _, highest := f.relativeErrors(); highest > 0.05 {
			t.Errorf("%d routers: relative error %.3f, want at most 0.05", n, highest)
		}
	}
}

func TestMeanFollowsLoadChange(t *testing.T) {
	for _, n := range []int{4, 64} {
		f := newFleet(n, 1, 0)
		f.rounds(20)
		for i := range n / 2 {
			f.setLoad(i, 200)
		}
		f.rounds(3 * roundsPerEpoch(n))
		if _, highest := f.relativeErrors(); highest > 0.05 {
			t.Errorf("%d routers: relative error %.3f, want at most 0.05", n, highest)
		}
	}
}

func TestErrorFromMessageLossEndsWithEpoch(t *testing.T) {
	f := newFleet(64, 2, 0.3)
	f.rounds(30)
	f.loss = 0
	f.rounds(2 * (roundsPerEpoch(64) + 1))
	if _, highest := f.relativeErrors(); highest > 0.05 {
		t.Errorf("relative error %.3f, want at most 0.05", highest)
	}
}

func TestRestartedRouterJoinsCurrentEpoch(t *testing.T) {
	f := newFleet(32, 3, 0)
	f.rounds(60)
	f.nodes[0] = New()
	f.setLoad(0, 100)
	f.rounds(3 * roundsPerEpoch(32))
	if f.nodes[0].Epoch() < 5 {
		t.Errorf("epoch %d of the restarted router, want at least 5", f.nodes[0].Epoch())
	}
	if _, highest := f.relativeErrors(); highest > 0.05 {
		t.Errorf("relative error %.3f, want at most 0.05", highest)
	}
}

func TestManyPoolsAreExchangedInSeveralMessages(t *testing.T) {
	const pools, routers = 150, 40
	f := newFleet(routers, 7, 0)
	for _, n := range f.nodes {
		var list []PoolLoad
		for p := range uint32(pools) {
			list = append(list, PoolLoad{Pool: p + 1, InFlight: 1 + float64(f.random.Intn(9))})
		}
		n.SetLocal(list)
		if got := len(n.BeginRound(routers).Pools); got > maxPools {
			t.Fatalf("%d pools in a message, want at most 64", got)
		}
	}
	const parts = 3
	f.rounds(2 * (parts*roundsPerEpoch(routers) + 1))
	if _, highest := f.relativeErrors(); highest > 0.05 {
		t.Errorf("relative error %.3f, want at most 0.05", highest)
	}
}

func TestRemovedRouterIsExcludedFromMean(t *testing.T) {
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

// TestMeasureAveraging prints the error and the traffic of several methods to
// compute the mean. Set VERBENATRAIL_MEASURE=1 to run it.
func TestMeasureAveraging(t *testing.T) {
	if os.Getenv("VERBENATRAIL_MEASURE") == "" {
		t.Skip("set VERBENATRAIL_MEASURE=1 to measure")
	}
	const pools = 12
	size := wireBytes(pools)
	fmt.Println("routers  method     bytes/router/round  mean-error  highest-error  (12 pools, 2% loss, loads drift)")
	for _, n := range []int{4, 16, 64, 410} {
		mean, highest := driftErrors(n, func(f *testFleet) { f.round() })
		fmt.Printf("%7d  averaging  %18d  %10.4f  %13.4f\n", n, 4*size, mean, highest)
		fmt.Printf("%7d  full mesh  %18d\n", n, 2*(n-1)*size)
		mean, highest = treeDriftErrors(n)
		fmt.Printf("%7d  tree of 4  %18d  %10.4f  %13.4f  (root: %d bytes)\n", n, treeBytes(n, size), mean, highest, 2*4*size)
	}
}

const driftRounds = 100

// drift changes the load of a tenth of the routers by up to two requests.
func (f *testFleet) drift() {
	for range max(1, len(f.nodes)/10) {
		i := f.random.Intn(len(f.nodes))
		f.setLoad(i, max(0, f.nodes[i].gossip.local[pool]+float64(f.random.Intn(5)-2)))
	}
}

func driftErrors(n int, round func(*testFleet)) (mean, highest float64) {
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

// treeBytes returns the average bytes per router and round: each link carries a
// sum up and a mean down, counted at both ends.
func treeBytes(n, size int) int { return 2 * 2 * (n - 1) * size / n }

// treeDriftErrors simulates an aggregation tree: in each round, sums move up and
// means move down by one level. If a message is lost, the older value stays.
func treeDriftErrors(n int) (mean, highest float64) {
	f := newFleet(n, 5, 0.02)
	sums, means := make([]float64, n), make([]float64, n)
	received := make([]float64, n) // the sum that a node's parent received last
	for round := range 40 + driftRounds {
		f.drift()
		f.treeRound(sums, means, received)
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

func (f *testFleet) treeRound(sums, means, received []float64) {
	n := len(f.nodes)
	for i := range n {
		sums[i] = f.nodes[i].gossip.local[pool]
		for child := i*treeFanOut + 1; child <= i*treeFanOut+treeFanOut && child < n; child++ {
			sums[i] += received[child]
		}
	}
	for i := n - 1; i > 0; i-- {
		if !f.lost() {
			received[i] = sums[i]
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
