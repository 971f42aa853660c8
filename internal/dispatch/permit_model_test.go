package dispatch

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/call"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/locality"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

const (
	// modelStep is the resolution of the simulation of a fleet under rate limits.
	modelStep = 10 * time.Millisecond
	// namedAfter is when the engines of the model begin to name their limits; namedUntil
	// when they end.
	namedAfter, namedUntil = time.Second, 15 * time.Second
	// learningTime is the time that the platform's rules give the routers to learn of a
	// limit, limitSpan the length of the windows.
	learningTime, limitSpan = 3 * time.Second, 4 * time.Second
	// aimedFactor and aimedExtra bound the calls in a window, relative to the limit. The
	// platform's rules allow 1.5 and 5.
	aimedFactor, aimedExtra = 1.2, 2
	// viewDelay is how long after a router has gone or returned the others know of it.
	viewDelay = 1200 * time.Millisecond
)

// limitPattern is a load on a fleet whose engines name rate limits.
type limitPattern struct {
	routers int
	// rates are the limits of the engines, zero for none.
	rates []float64
	// demand is the number of calls a second.
	demand float64
	// down reports whether a router is not running at a time; frozen routers keep their
	// state.
	down   func(router int, at time.Duration) bool
	frozen bool
	// rate, if set, changes the limits with time.
	rate func(engine int, at time.Duration) float64
}

// limitModel plays a limitPattern with the real balancers of a fleet.
type limitModel struct {
	p       limitPattern
	random  *rand.Rand
	at      time.Duration
	routers []*Balancer
	// view is which routers each one knows to be running, the same for all but for
	// viewDelay.
	names    []string
	arrivals [][]time.Duration
	// named are the responses with a limit that have not arrived yet.
	pending                  []modelReply
	served, rejected, called int
	// rejectedLate counts rejections from 2 s after the end of the limits.
	rejectedLate int
}

// modelReply is a response on its way to a router.
type modelReply struct {
	due    time.Duration
	sentAt time.Time
	router int
	pick   *pick
	callID string
	reply  call.Reply
}

func newLimitModel(p limitPattern, seed uint64) *limitModel {
	m := &limitModel{p: p, random: rand.New(rand.NewPCG(seed, 3)), arrivals: make([][]time.Duration, len(p.rates))}
	for i := range p.routers {
		m.names = append(m.names, fmt.Sprintf("router-%03d", i))
		m.routers = append(m.routers, m.newRouter())
	}
	return m
}

func (m *limitModel) now() time.Time { return startTime.Add(m.at) }

func (m *limitModel) newRouter() *Balancer {
	b := NewBalancer(BalancerOptions{
		Location: locality.Location{FailureDomain: "z"}, Log: decisionlog.New(io.Discard, logrus.ErrorLevel, metrics.NewRegistry()),
		Now: m.now,
	})
	b.SetInstances(listing(len(m.p.rates)))
	b.SetFleet(0, m.p.routers, time.Duration(m.p.routers/peering.Fanout)*peering.RoundInterval)
	return b
}

func (m *limitModel) down(router int, at time.Duration) bool {
	return m.p.down != nil && at >= 0 && m.p.down(router, at)
}

// deciders returns the routers that are asked for permits, in order.
func (m *limitModel) deciders() []int {
	var live []string
	for i, name := range m.names {
		if !m.down(i, m.at-viewDelay) {
			live = append(live, name)
		}
	}
	var order []int
	for _, name := range placement.OwnersInOrder("model", live, 3) {
		order = append(order, slices.Index(m.names, name))
	}
	return order
}

// acquire asks the first router in the order that is running, as package edge does.
func (m *limitModel) acquire(r *peerpb.PermitRequest) *peerpb.PermitResponse {
	for _, router := range m.deciders() {
		if !m.down(router, m.at) {
			return m.routers[router].DecidePermit("other", r)
		}
	}
	return UndecidedPermit()
}

func (m *limitModel) run(until time.Duration) {
	owed := 0.0
	for ; m.at < until; m.at += modelStep {
		m.restart()
		m.deliver()
		if m.at%peering.RoundInterval == 0 {
			m.gossip()
		}
		for owed += m.p.demand * modelStep.Seconds(); owed >= 1; owed-- {
			m.call()
		}
	}
}

// restart replaces routers that were killed.
func (m *limitModel) restart() {
	for i := range m.routers {
		if !m.p.frozen && m.down(i, m.at-modelStep) && !m.down(i, m.at) {
			m.routers[i] = m.newRouter()
		}
	}
}

// gossip sends the rate limits that each router knows to some others. One datagram in five
// is lost.
func (m *limitModel) gossip() {
	for i, b := range m.routers {
		if m.down(i, m.at) {
			continue
		}
		b.Tick()
		news := b.RateLimitNews()
		for range min(peering.Fanout, m.p.routers-1) {
			to := m.random.IntN(m.p.routers)
			if to != i && !m.down(to, m.at) && m.random.IntN(5) > 0 {
				m.routers[to].ApplyRateLimits("other", news, 0)
			}
		}
	}
}

// call places a call at a random router, half of them at a tenth of the routers.
func (m *limitModel) call() {
	router := m.random.IntN(m.p.routers)
	if m.random.IntN(2) == 0 {
		router = m.random.IntN(1 + m.p.routers/10)
	}
	if m.down(router, m.at) {
		return
	}
	m.called++
	c := prompt(fmt.Sprint("part-", m.random.IntN(12)))
	c.ID = fmt.Sprint("call-", m.called)
	b, t := m.routers[router], target{service: "model", objective: 400 * time.Millisecond, deadline: m.now().Add(5 * time.Second)}
	for denials := 0; ; denials++ {
		t.avoidLimited = denials >= maxDenials
		p, rejected := b.choose(c, t, nil)
		if rejected != nil || p == nil {
			m.reject()
			return
		}
		if p.permitRequest == nil {
			m.send(router, c, p, 0)
			return
		}
		response := m.acquire(p.permitRequest)
		if permitted := b.usePermit(c, "model", p, response); permitted != nil {
			m.send(router, c, permitted, micros(response.GetWaitUs()))
			return
		}
		if p.permitRequest.GetLast() {
			m.reject()
			return
		}
	}
}

func (m *limitModel) reject() {
	m.rejected++
	if m.at >= namedUntil+2*time.Second {
		m.rejectedLate++
	}
}

// send records the arrival of a call at an engine, up to 50 ms after its permit, and the
// response that follows.
func (m *limitModel) send(router int, c *call.Call, p *pick, wait time.Duration) {
	var engine int
	if _, err := fmt.Sscanf(p.instance.ID, "e-%d", &engine); err != nil {
		panic(err)
	}
	arrival := m.at + wait + time.Duration(m.random.IntN(50))*time.Millisecond
	m.arrivals[engine] = append(m.arrivals[engine], arrival)
	m.served++
	reply := call.Reply{CallID: c.ID, Signed: true}
	if rate := m.rateAt(engine, arrival); rate > 0 {
		reply.RateLimit = &rate
	}
	m.pending = append(m.pending, modelReply{
		due: arrival + 100*time.Millisecond, sentAt: startTime.Add(m.at + wait), router: router, pick: p, callID: c.ID, reply: reply,
	})
}

func (m *limitModel) rateAt(engine int, at time.Duration) float64 {
	if at < namedAfter || at >= namedUntil || m.p.rates[engine] == 0 {
		return 0
	}
	if m.p.rate != nil {
		return m.p.rate(engine, at)
	}
	return m.p.rates[engine]
}

func (m *limitModel) deliver() {
	m.pending = slices.DeleteFunc(m.pending, func(r modelReply) bool {
		if r.due > m.at {
			return false
		}
		if b := m.routers[r.router]; !m.down(r.router, m.at) {
			b.done(r.pick)
			b.recordRateLimit(r.pick, r.callID, r.sentAt, r.reply)
		}
		return true
	})
}

// check compares each window with the aim, and returns the part of the limits that was
// used.
func (m *limitModel) check(t *testing.T) float64 {
	t.Helper()
	used, allowed := 0, 0.0
	from := namedAfter + learningTime
	for engine, arrivals := range m.arrivals {
		rate := m.p.rates[engine]
		if rate == 0 {
			continue
		}
		slices.Sort(arrivals)
		allowed += rate * (namedUntil - from).Seconds()
		for i, first := range arrivals {
			if first < from || first >= namedUntil {
				continue
			}
			used++
			n := 0
			for _, at := range arrivals[i:] {
				if at < first+limitSpan && at < namedUntil {
					n++
				}
			}
			if float64(n) > aimedFactor*rate*limitSpan.Seconds()+aimedExtra {
				t.Errorf("engine %d, limit %g a second: %d calls in %v from %v on", engine, rate, n, limitSpan, first)
				break
			}
		}
	}
	return float64(used) / allowed
}

func repeated(rate float64, n int) []float64 { return slices.Repeat([]float64{rate}, n) }

// Engines of a fleet of any size get what they name, and no more, while routers learn of
// it from each other.
func TestFleetKeepsRateLimits(t *testing.T) {
	mixed := []float64{0.5, 1, 2, 3, 5, 8, 13, 20, 50, 0.7, 1.3, 1.3}
	for _, routers := range []int{1, 4, 79, 413} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			m := newLimitModel(limitPattern{routers: routers, rates: mixed, demand: 220}, 1)
			m.run(20 * time.Second)
			use := m.check(t)
			t.Logf("%.2f of the limits used, %d of %d calls served", use, m.served, m.called)
			if use < 0.85 {
				t.Errorf("%.2f of the limits were used while demand exceeded them", use)
			}
			if m.rejectedLate > 0 {
				t.Errorf("%d calls were rejected later than 2 s after the end of the limits", m.rejectedLate)
			}
		})
	}
}

// Instances without a limit take what exceeds the limits of the others.
func TestNoCallIsRejectedWhileEnginesWithoutALimitHaveRoom(t *testing.T) {
	for _, routers := range []int{1, 4, 79} {
		m := newLimitModel(limitPattern{routers: routers, rates: append(repeated(1.3, 8), repeated(0, 4)...), demand: 60}, 2)
		m.run(18 * time.Second)
		m.check(t)
		if m.rejected > 0 {
			t.Errorf("%d routers: %d of %d calls were rejected", routers, m.rejected, m.called)
		}
	}
}

// Routers are killed and restarted, or frozen, among them those that decide; limits change
// meanwhile.
func TestRateLimitsHoldWhileRoutersComeAndGo(t *testing.T) {
	turns := func(router int, at time.Duration) bool {
		return router%3 == int(at/(3*time.Second))%3 && at%(3*time.Second) < 2*time.Second
	}
	for _, frozen := range []bool{false, true} {
		for _, routers := range []int{4, 79} {
			p := limitPattern{routers: routers, rates: repeated(4, 6), demand: 80, down: turns, frozen: frozen}
			p.rate = func(engine int, at time.Duration) float64 { return 4 - float64((int(at/time.Second)+engine)%3) }
			m := newLimitModel(p, 3)
			m.run(18 * time.Second)
			t.Logf("%d routers, frozen %v: %.2f of the highest limits used, %d of %d calls served", routers, frozen, m.check(t), m.served, m.called)
		}
	}
}

// One engine names a limit, the other one has slots for many more calls than it begins to
// answer in time: what it can't is rejected, not queued there.
func TestEngineWithoutALimitIsNotCrowded(t *testing.T) {
	const (
		objective = time.Second
		// callTime is the time that the engine without a limit works on a call; calls share it.
		callTime    = 50 * time.Millisecond
		arrivalStep = 15 * time.Millisecond
		settled     = 5 * time.Second
		duration    = 25 * time.Second
	)
	b, engines, rate := newTestBalancer(0), listing(2), 1.0
	for i := range engines {
		engines[i].Slots = 64
	}
	b.SetInstances(engines)
	b.now = b.now.Add(time.Second)
	b.recordRateLimit(&pick{instance: engines[0]}, "id", b.now, call.Reply{RateLimit: &rate})
	type running struct {
		pick *pick
		due  time.Time
		took time.Duration
	}
	var calls []running
	begin, onTime, late := b.now, 0, 0
	for n := 0; b.now.Sub(begin) < duration; n++ {
		b.now = b.now.Add(arrivalStep)
		calls = slices.DeleteFunc(calls, func(r running) bool {
			if r.due.After(b.now) {
				return false
			}
			b.recordConcurrency(r.pick, objective, r.took)
			b.done(r.pick)
			return true
		})
		c := prompt("p")
		c.ID = fmt.Sprint("call-", n)
		p, _ := b.choose(c, target{service: "model", objective: objective, deadline: b.now.Add(time.Minute), avoidLimited: true}, nil)
		if p == nil || p.permitRequest != nil {
			continue
		}
		took := time.Duration(len(calls)+1) * callTime
		calls = append(calls, running{pick: p, due: b.now.Add(took), took: took})
		switch {
		case b.now.Sub(begin) < settled:
		case took > objective:
			late++
		default:
			onTime++
		}
	}
	t.Logf("%d calls on time, %d late", onTime, late)
	if late > onTime/10 {
		t.Errorf("%d of %d calls begin later than the objective", late, onTime+late)
	}
	if possible := int((duration - settled) / callTime); onTime < possible*7/10 {
		t.Errorf("%d calls on time, the engine could answer %d", onTime, possible)
	}
}
