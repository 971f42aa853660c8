package placement_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/admission"
	"github.com/verbenatrail/verbenatrail/internal/hostlist"
	"github.com/verbenatrail/verbenatrail/internal/membership"
	"github.com/verbenatrail/verbenatrail/internal/placement"
)

// Parameters of the simulation and of the generated arrivals.
const (
	engineCount      = 12
	runLength        = 10 * time.Minute
	warmUp           = 2 * time.Minute
	replaceInterval  = time.Minute
	meanInterval     = time.Second
	sampleInterval   = 100 * time.Millisecond
	step             = 10 * time.Millisecond
	thinkTime        = 60 * time.Second // mean
	decodeTime       = 4 * time.Second  // mean
	turnsPerChat     = 8
	prefillPerSecond = 8000.0 // tokens
	surgeStart       = 4 * time.Minute
	surgeEnd         = 6 * time.Minute
	surgeFactor      = 10.0
)

// workspaceShares are the relative traffic shares of ten workspaces; the last two
// surge.
var workspaceShares = []float64{4, 3, 2, 1, 1, 1, 1, 1, 1, 1}

// arrival is one turn of a chat.
type arrival struct {
	at        time.Duration
	chat      int
	workspace int
	prefix    int // tokens of earlier turns
	added     int // tokens of this turn
	decode    time.Duration
	affinity  *placement.AffinityCache // of the router that the caller connects to
}

// generateArrivals generates the arrivals for a mean number of requests in flight
// per engine.
func generateArrivals(meanInFlight float64, seed int64) []arrival {
	random := rand.New(rand.NewSource(seed))
	turnRate := meanInFlight * engineCount / decodeTime.Seconds()
	var out []arrival
	chat := 0
	for workspace, share := range workspaceShares {
		chatRate := turnRate * share / 16 / turnsPerChat
		surging := workspace >= len(workspaceShares)-2
		for at := time.Duration(0); at < runLength; {
			rate := chatRate
			if surging && at >= surgeStart && at < surgeEnd {
				rate *= surgeFactor
			}
			at += seconds(random.ExpFloat64() / rate)
			out = append(out, generateChat(random, chat, workspace, at)...)
			chat++
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

func generateChat(random *rand.Rand, chat, workspace int, at time.Duration) []arrival {
	var out []arrival
	prefix, added := 0, 500+random.Intn(3500)
	for range turnsPerChat {
		if at >= runLength {
			break
		}
		decode := seconds(random.ExpFloat64() * decodeTime.Seconds())
		out = append(out, arrival{at: at, chat: chat, workspace: workspace, prefix: prefix, added: added, decode: decode})
		prefix += added
		added = 200 + random.Intn(400)
		at += seconds(random.ExpFloat64() * thinkTime.Seconds())
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// prefixCache is an LRU cache of the prompt tokens of chats.
type prefixCache struct {
	capacity, used int
	order          *list.List
	entries        map[int]*list.Element
}

type cacheEntry struct{ chat, tokens int }

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: map[int]*list.Element{}}
}

func (c *prefixCache) tokens(chat int) int {
	if e, ok := c.entries[chat]; ok {
		return e.Value.(*cacheEntry).tokens
	}
	return 0
}

func (c *prefixCache) put(chat, tokens int) {
	if e, ok := c.entries[chat]; ok {
		entry := e.Value.(*cacheEntry)
		c.used += tokens - entry.tokens
		entry.tokens = tokens
		c.order.MoveToFront(e)
	} else {
		c.entries[chat] = c.order.PushFront(&cacheEntry{chat, tokens})
		c.used += tokens
	}
	for c.used > c.capacity {
		oldest := c.order.Back()
		entry := c.order.Remove(oldest).(*cacheEntry)
		delete(c.entries, entry.chat)
		c.used -= entry.tokens
	}
}

// replayEngine is an engine with its owner's admission state.
type replayEngine struct {
	name      string
	scheduler *admission.Scheduler
	cache     *prefixCache
	inFlight  int
}

// policy determines which engines are tried for a turn, and in which order. Some
// fields set the disturbances of a run.
type policy struct {
	name string
	// unbounded sends each turn to the first engine in rank, without admission.
	unbounded bool
	// planned uses placement.PlanAttempts. Otherwise the engines are tried in
	// rank, and then the turn queues at the least loaded one.
	planned bool
	// usesAffinity ranks the engines that ran the chat before first.
	usesAffinity    bool
	cacheWaitFactor float64 // factor of placement.CacheWait
	headroom        float64
	// byEngine makes callers connect to the owner of the first engine in rank
	// instead of a router that is chosen by the chat.
	byEngine bool
	// unknownIsNew treats chats without a cached affinity as new.
	unknownIsNew bool
	// losesDomain removes a quarter of the engines at lossTime; their running
	// turns are placed again.
	losesDomain bool
	// staleLists ranks every other turn by the previous list of engines for a
	// while after a replacement.
	staleLists bool
	// flapping makes one engine refuse connections periodically; holdDown holds
	// the hold-down settings.
	flapping bool
	holdDown membership.Settings
	rank     func(r *replay, a arrival, nonce uint64) []*replayEngine
}

// completion is the scheduled end of a request.
type completion struct {
	at      time.Duration
	id      uint64
	engine  *replayEngine
	arrival arrival
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// queuedTurn is a request that is queued at an engine.
type queuedTurn struct {
	arrival arrival
	rest    []placement.Attempt // attempts to make if the queued one is refused
	since   time.Duration
}

// replay runs generated arrivals through placement and admission with one policy.
type replay struct {
	policy    policy
	settings  admission.Settings
	capacity  int
	cacheSize int
	lag       time.Duration

	now     time.Duration
	engines []*replayEngine
	created int
	nonce   uint64
	done    completions
	waiting map[uint64]queuedTurn
	// affinities holds the affinity cache of each router.
	affinities map[string]*placement.AffinityCache
	members    *membership.Members
	replaced   *replayEngine // the engine replaced last
	means      []float64     // history, one value per second
	result     result
}

// result holds the measurements after the warm-up.
type result struct {
	cached, prefix int
	samples, over  int // over counts the samples that miss the target
	overSurge      int // part of over: in the surge or the minute after it
	worstRatio     float64
	worstExcess    float64
	refused, turns int
	waits          []time.Duration
	overAtPlacing  int
	// unevenAfterLoss is the time from lossTime to the last miss of the target
	// before the next replacement.
	unevenAfterLoss time.Duration
	moved           int // turns that ran on another engine than the chat's previous turn
}

func (r result) reuse() float64 { return float64(r.cached) / float64(r.prefix) }

func (r result) waitAt(quantile float64) time.Duration {
	slices.Sort(r.waits)
	return r.waits[int(quantile*float64(len(r.waits)-1))]
}

var start = time.Unix(1_700_000_000, 0)

func (r *replay) clock() time.Time { return start.Add(r.now) }

func (r *replay) run(arrivals []arrival) result {
	r.waiting = map[uint64]queuedTurn{}
	r.affinities = make(map[string]*placement.AffinityCache)
	for _, name := range routerNames {
		r.affinities[name] = placement.NewAffinityCache(affinityCacheSize)
	}
	r.members = membership.New(membership.Options{
		Self: hostlist.Host{Name: "router", Kind: hostlist.KindRouter}, Settings: r.policy.holdDown,
	})
	for range engineCount {
		r.addEngine()
	}
	next := 0
	for ; r.now < runLength; r.now += step {
		r.timers()
		for len(r.done) > 0 && r.done[0].at <= r.now {
			r.finish(heap.Pop(&r.done).(completion))
		}
		for next < len(arrivals) && arrivals[next].at <= r.now {
			r.arrive(arrivals[next])
			next++
		}
	}
	return r.result
}

func (r *replay) addEngine() {
	r.created++
	e := &replayEngine{name: fmt.Sprintf("engine-%03d", r.created), cache: newPrefixCache(r.cacheSize)}
	e.scheduler = admission.New(r.settings, r.capacity)
	r.engines = append(r.engines, e)
	var list []hostlist.Host
	for _, e := range r.engines {
		list = append(list, hostlist.Host{Name: e.name, Kind: hostlist.KindEngine, State: hostlist.StateLive})
	}
	r.members.ApplyHostList(r.clock(), list)
}

func (r *replay) every(interval time.Duration) bool { return r.now > 0 && r.now%interval == 0 }

func (r *replay) timers() {
	if r.every(replaceInterval) {
		r.replaced = r.engines[0]
		r.engines = r.engines[1:]
		r.addEngine()
		r.apply(r.replaced, r.replaced.scheduler.Drain(r.clock()))
	}
	if r.policy.losesDomain && r.now == lossTime {
		r.loseDomain()
	}
	if r.every(meanInterval) {
		r.means = append(r.means, r.mean())
		lagged := r.means[max(0, len(r.means)-1-int(r.lag/meanInterval))]
		for _, e := range r.engines {
			r.apply(e, e.scheduler.SetMean(r.clock(), lagged))
		}
	}
	if r.every(sampleInterval) {
		r.members.Tick(r.clock())
		for _, e := range r.engines {
			r.apply(e, e.scheduler.Tick(r.clock()))
		}
		r.sample()
	}
}

// lossTime is the time of the domain loss: between two replacements, after the
// surge.
const lossTime = 7*time.Minute + 30*time.Second

func (r *replay) loseDomain() {
	lost := slices.Clone(r.engines[:engineCount/4])
	r.engines = r.engines[engineCount/4:]
	var cut []completion
	r.done = slices.DeleteFunc(r.done, func(c completion) bool {
		gone := slices.Contains(lost, c.engine)
		if gone {
			cut = append(cut, c)
		}
		return gone
	})
	heap.Init(&r.done)
	for _, e := range lost {
		r.apply(e, e.scheduler.Drain(r.clock()))
	}
	for _, c := range cut {
		r.arrive(c.arrival)
	}
}

func (r *replay) mean() float64 {
	sum := 0
	for _, e := range r.engines {
		sum += e.inFlight
	}
	return float64(sum) / float64(len(r.engines))
}

// overTarget reports whether the highest load misses the target now.
func (r *replay) overTarget() (ratio, excess float64, over bool) {
	mean, highest := r.mean(), 0
	for _, e := range r.engines {
		highest = max(highest, e.inFlight)
	}
	if mean < 4 {
		excess = float64(highest) - mean
		return 0, excess, excess > 1
	}
	ratio = float64(highest) / mean
	return ratio, 0, ratio > r.settings.Multiple
}

func (r *replay) sample() {
	if r.now < warmUp {
		return
	}
	ratio, excess, over := r.overTarget()
	r.result.samples++
	r.result.worstRatio = max(r.result.worstRatio, ratio)
	r.result.worstExcess = max(r.result.worstExcess, excess)
	if !over {
		return
	}
	r.result.over++
	if r.now >= lossTime && r.now < lossTime+replaceInterval/2 {
		r.result.unevenAfterLoss = r.now - lossTime
	}
	if r.now >= surgeStart && r.now < surgeEnd+time.Minute {
		r.result.overSurge++
	}
}

func (r *replay) arrive(a arrival) {
	r.nonce++
	order := r.policy.rank(r, a, r.nonce)
	a.affinity = r.affinities[r.routerOf(a, order)]
	if r.now >= warmUp {
		r.result.turns++
	}
	if r.policy.unbounded {
		r.start(r.nonce, a, order[0], r.now)
		return
	}
	r.place(a, r.attempts(a, order), r.now)
}

var routerNames = []string{"router-1", "router-2", "router-3", "router-4"}

// routerOf returns the router that the directory assigns to a chat.
func (r *replay) routerOf(a arrival, order []*replayEngine) string {
	key := order[0].name
	if !r.policy.byEngine {
		key = fmt.Sprint("chat-", a.chat)
	}
	router, _ := placement.Owner(key, routerNames)
	return router
}

func (r *replay) attempts(a arrival, order []*replayEngine) []placement.Attempt {
	var ranked []string
	for _, e := range order {
		ranked = append(ranked, e.name)
	}
	if !r.policy.planned {
		return attemptsInRank(ranked)
	}
	cached := 0
	if a.prefix > 0 && !r.policy.unknownIsNew {
		cached = 1
	}
	if recent, ok := a.affinity.Lookup(uint64(a.chat)); ok && r.policy.usesAffinity {
		cached = recent.Promote(ranked)
	}
	return placement.PlanAttempts(ranked, placement.AttemptOptions{
		Cached: cached, MaxUpstreams: engineCount,
		CacheWait: placement.CacheWait(a.prefix, prefillPerSecond, r.policy.cacheWaitFactor),
	})
}

// attemptsInRank returns attempts in rank without a distinction between cached and
// other engines.
func attemptsInRank(ranked []string) []placement.Attempt {
	var attempts []placement.Attempt
	for _, name := range ranked {
		attempts = append(attempts, placement.Attempt{Upstream: name})
	}
	return append(attempts, placement.Attempt{LastResort: true, PoolFull: true})
}

// place makes the attempts in order until an engine admits or queues the turn.
func (r *replay) place(a arrival, attempts []placement.Attempt, since time.Duration) {
	for i, attempt := range attempts {
		e := r.engine(attempt.Upstream)
		if attempt.LastResort {
			e = r.leastLoaded()
		}
		if e != nil && r.offer(e, attempt, queuedTurn{arrival: a, rest: attempts[i+1:], since: since}) {
			return
		}
	}
	if r.now >= warmUp {
		r.result.refused++
	}
}

// leastLoaded returns the least loaded engine, except one that refuses
// connections, because the turn has already failed there.
func (r *replay) leastLoaded() *replayEngine {
	up := slices.DeleteFunc(slices.Clone(r.engines), r.flaps)
	return slices.MinFunc(up, func(x, y *replayEngine) int { return x.inFlight - y.inFlight })
}

func (r *replay) engine(name string) *replayEngine {
	for _, e := range r.engines {
		if e.name == name {
			return e
		}
	}
	if r.replaced != nil && r.replaced.name == name {
		return r.replaced
	}
	return nil
}

func (r *replay) offer(e *replayEngine, attempt placement.Attempt, turn queuedTurn) bool {
	if r.flaps(e) {
		r.members.ReportUpstream(r.clock(), e.name, membership.ConnRefused)
		return false
	}
	r.nonce++
	request := admission.Request{
		ID: r.nonce, Workspace: fmt.Sprint("w", turn.arrival.workspace),
		Flexible: attempt.Flexible, PoolFull: attempt.PoolFull, MayWait: attempt.LastResort || attempt.Wait > 0,
	}
	if attempt.Wait > 0 {
		request.Deadline = r.clock().Add(attempt.Wait)
	}
	if attempt.PoolFull {
		request.PoolMean = r.mean() // all owners have reported their loads
	}
	d := e.scheduler.Offer(r.clock(), request)
	switch d.Verdict {
	case admission.Admitted:
		r.start(request.ID, turn.arrival, e, turn.since)
	case admission.Queued:
		r.waiting[request.ID] = turn
	}
	r.apply(e, d.Effects)
	return d.Verdict != admission.Refused
}

func (r *replay) apply(e *replayEngine, effects []admission.Effect) {
	for _, effect := range effects {
		turn := r.waiting[effect.ID]
		delete(r.waiting, effect.ID)
		if effect.Kind == admission.Start {
			r.start(effect.ID, turn.arrival, e, turn.since)
			continue
		}
		r.place(turn.arrival, r.afterRefusal(turn, effect.Reason), turn.since)
	}
}

// afterRefusal returns the remaining attempts; after a drain, it plans new ones.
func (r *replay) afterRefusal(turn queuedTurn, reason admission.Reason) []placement.Attempt {
	if reason != admission.ReasonDraining {
		return turn.rest
	}
	return r.attempts(turn.arrival, r.policy.rank(r, turn.arrival, r.nonce))
}

func (r *replay) start(id uint64, a arrival, e *replayEngine, since time.Duration) {
	cached := min(e.cache.tokens(a.chat), a.prefix)
	e.cache.put(a.chat, a.prefix+a.added)
	e.inFlight++
	last, known := a.affinity.Lookup(uint64(a.chat))
	a.affinity.Record(uint64(a.chat), e.name)
	prefill := seconds(float64(a.prefix+a.added-cached) / prefillPerSecond)
	heap.Push(&r.done, completion{at: r.now + prefill + a.decode, id: id, engine: e, arrival: a})
	if r.now < warmUp {
		return
	}
	if known && last.Last != e.name {
		r.result.moved++
	}
	r.result.cached += cached
	r.result.prefix += a.prefix
	r.result.waits = append(r.result.waits, r.now-since)
	if _, _, over := r.overTarget(); over {
		r.result.overAtPlacing++
	}
}

func (r *replay) finish(c completion) {
	c.engine.inFlight--
	r.apply(c.engine, c.engine.scheduler.Finish(r.clock(), c.id))
}

// flaps reports whether e is the flapping engine and refuses connections now, as
// it does for one second in eight.
func (r *replay) flaps(e *replayEngine) bool {
	return r.policy.flapping && e == r.engines[len(r.engines)/2] && r.now%(8*time.Second) < time.Second
}

// known returns the engines that a router has in its list for a turn.
func (r *replay) known(nonce uint64) []*replayEngine {
	engines := r.engines
	sinceReplaced := r.now % replaceInterval
	if r.policy.staleLists && r.replaced != nil && sinceReplaced < staleFor && nonce%2 == 0 {
		engines = append([]*replayEngine{r.replaced}, r.engines[:len(r.engines)-1]...)
	}
	if !r.policy.flapping {
		return engines
	}
	live := make(map[string]bool)
	for _, u := range r.members.Upstreams(r.clock()) {
		live[u.Host.Name] = u.Condition == membership.Alive
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e *replayEngine) bool { return !live[e.name] })
}

// staleFor is how long the lists of routers differ after a replacement.
const staleFor = 5 * time.Second

// byStrategy returns a rank function that uses a placement strategy.
func byStrategy(s placement.Strategy) func(*replay, arrival, uint64) []*replayEngine {
	return func(r *replay, a arrival, nonce uint64) []*replayEngine {
		engines := r.known(nonce)
		candidates := make([]placement.Candidate, 0, len(engines))
		for _, e := range engines {
			candidates = append(candidates, placement.Candidate{Name: e.name, InFlight: e.inFlight})
		}
		key := placement.Key(fmt.Sprint("chat-", a.chat))
		order := s.Rank(placement.Request{Key: key, Nonce: nonce}, candidates, nil)
		out := make([]*replayEngine, 0, len(order))
		for _, i := range order {
			out = append(out, engines[i])
		}
		return out
	}
}

// affinityCacheSize is larger than the number of chats of a run.
const affinityCacheSize = 1 << 20

// oracle ranks by the actual contents of all caches, then by load.
func oracle(r *replay, a arrival, _ uint64) []*replayEngine {
	order := slices.Clone(r.engines)
	slices.SortStableFunc(order, func(x, y *replayEngine) int {
		if c := y.cache.tokens(a.chat) - x.cache.tokens(a.chat); c != 0 {
			return c
		}
		return x.inFlight - y.inFlight
	})
	return order
}

func newReplay(p policy, meanInFlight float64, lag time.Duration) *replay {
	settings := admission.DefaultSettings()
	settings.Headroom = p.headroom
	const tokensPerRequestInFlight = 60_000
	return &replay{
		policy: p, settings: settings, lag: lag,
		capacity:  int(math.Ceil(4 * meanInFlight)),
		cacheSize: int(tokensPerRequestInFlight * meanInFlight),
	}
}
