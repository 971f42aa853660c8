package admission

import (
	"slices"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/fleet"
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request  Request
	arrived  time.Time
	sequence uint64
}

// flow holds the queued requests of one workspace and priority class, oldest
// first.
type flow struct {
	workspace string
	class     fleet.Priority
	// start is the virtual start time of the head request.
	start float64
	// served is the time at which the flow's last request started.
	served time.Time
	queue  []*queuedRequest
}

// fairQueue orders queued requests by priority class with ageing, then by
// start-time fair queueing across workspaces.
type fairQueue struct {
	ageingStep  time.Duration
	virtualTime float64
	// finish holds the virtual finish time of each workspace whose finish time
	// is later than virtualTime; earlier ones may remain until they are pruned.
	finish   map[string]float64
	flows    []*flow
	length   int
	sequence uint64
}

func newFairQueue(ageingStep time.Duration) *fairQueue {
	return &fairQueue{ageingStep: ageingStep, finish: make(map[string]float64)}
}

// push appends a request to its flow.
func (q *fairQueue) push(now time.Time, r Request) {
	q.sequence++
	q.length++
	f := q.flowOf(r.Workspace, r.Class)
	f.queue = append(f.queue, &queuedRequest{request: r, arrived: now, sequence: q.sequence})
}

func (q *fairQueue) flowOf(workspace string, class fleet.Priority) *flow {
	for _, f := range q.flows {
		if f.workspace == workspace && f.class == class {
			return f
		}
	}
	f := &flow{workspace: workspace, class: class, start: q.nextStart(workspace)}
	q.flows = append(q.flows, f)
	return f
}

// nextStart returns the virtual start time of a workspace's next request.
func (q *fairQueue) nextStart(workspace string) float64 {
	return max(q.virtualTime, q.finish[workspace])
}

// charge accounts for a request that starts at virtual time start.
func (q *fairQueue) charge(r Request, start float64) {
	q.virtualTime = max(q.virtualTime, start)
	q.finish[r.Workspace] = start + r.Cost/float64(r.Weight)
	q.pruneFinishTimes()
}

// maxFinishEntries is the number of finish times above which those that have
// passed are pruned.
const maxFinishEntries = 1024

// pruneFinishTimes drops finish times that virtualTime has passed.
func (q *fairQueue) pruneFinishTimes() {
	if len(q.finish) <= maxFinishEntries {
		return
	}
	for workspace, finish := range q.finish {
		if finish <= q.virtualTime {
			delete(q.finish, workspace)
		}
	}
}

// chargeDirect accounts for a request that starts without queueing.
func (q *fairQueue) chargeDirect(r Request) { q.charge(r, q.nextStart(r.Workspace)) }

// pop removes and returns the next request of the eligible workspaces, or nil.
func (q *fairQueue) pop(now time.Time, eligible func(workspace string) bool) *queuedRequest {
	var best *flow
	for _, f := range q.flows {
		if !eligible(f.workspace) {
			continue
		}
		if best == nil || q.before(now, f, best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	head := best.queue[0]
	q.charge(head.request, q.startOf(best))
	best.start = q.finish[best.workspace]
	best.served = now
	q.removeAt(best, 0)
	return head
}

// before reports whether the head of a is served before the head of b.
func (q *fairQueue) before(now time.Time, a, b *flow) bool {
	classA, classB := q.agedClass(now, a), q.agedClass(now, b)
	if classA != classB {
		return classA > classB
	}
	startA, startB := q.startOf(a), q.startOf(b)
	if startA != startB {
		return startA < startB
	}
	return a.queue[0].sequence < b.queue[0].sequence
}

// startOf returns the virtual start time of a flow's head, including what the
// workspace has started in other classes in the meantime.
func (q *fairQueue) startOf(f *flow) float64 { return max(f.start, q.finish[f.workspace]) }

// agedClass returns the class of a flow's head, promoted by one for each ageing
// step in which nothing of the flow was served. A workspace that waits behind
// its own backlog is not promoted.
func (q *fairQueue) agedClass(now time.Time, f *flow) fleet.Priority {
	since := f.queue[0].arrived
	if f.served.After(since) {
		since = f.served
	}
	steps := now.Sub(since) / q.ageingStep
	return min(f.class+fleet.Priority(steps), fleet.PriorityHigh)
}

// remove removes the request with an ID and reports whether it was queued.
func (q *fairQueue) remove(id uint64) bool {
	for _, f := range q.flows {
		for i, w := range f.queue {
			if w.request.ID == id {
				q.removeAt(f, i)
				return true
			}
		}
	}
	return false
}

// removeExpired removes and returns the requests whose deadline has passed, in
// order of arrival.
func (q *fairQueue) removeExpired(now time.Time) []*queuedRequest {
	return q.removeAll(func(w *queuedRequest) bool { return !now.Before(w.request.Deadline) })
}

// removeAll removes and returns the matching requests, in order of arrival.
func (q *fairQueue) removeAll(match func(*queuedRequest) bool) []*queuedRequest {
	var out []*queuedRequest
	for _, f := range slices.Clone(q.flows) {
		for i := len(f.queue) - 1; i >= 0; i-- {
			if match(f.queue[i]) {
				out = append(out, f.queue[i])
				q.removeAt(f, i)
			}
		}
	}
	slices.SortFunc(out, func(a, b *queuedRequest) int { return int(a.sequence) - int(b.sequence) })
	return out
}

func (q *fairQueue) removeAt(f *flow, i int) {
	f.queue = slices.Delete(f.queue, i, i+1)
	q.length--
	if len(f.queue) == 0 {
		q.flows = slices.DeleteFunc(q.flows, func(other *flow) bool { return other == f })
	}
}

// nextDeadline returns the earliest deadline of the queued requests.
func (q *fairQueue) nextDeadline() (time.Time, bool) {
	var earliest time.Time
	for _, f := range q.flows {
		for _, w := range f.queue {
			if earliest.IsZero() || w.request.Deadline.Before(earliest) {
				earliest = w.request.Deadline
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// evictFor makes room for r: it removes and returns the newest request of the
// workspace with the most queued requests per weight. That workspace must have
// more requests queued per weight than the workspace of r would have, or as
// many with a lower class; otherwise evictFor returns nil.
func (q *fairQueue) evictFor(now time.Time, r Request) *queuedRequest {
	shares := q.queuedShares()
	own := shares[r.Workspace] + 1/float64(r.Weight)
	victim, victimShare := "", 0.0
	for _, f := range q.flows {
		share := shares[f.workspace]
		evictable := share > own || (share == own && q.agedClass(now, f) < r.Class)
		if f.workspace != r.Workspace && evictable && share > victimShare {
			victim, victimShare = f.workspace, share
		}
	}
	if victim == "" {
		return nil
	}
	return q.removeNewest(victim)
}

// queuedShares returns the queued requests per weight of each workspace.
func (q *fairQueue) queuedShares() map[string]float64 {
	shares := make(map[string]float64, len(q.flows))
	for _, f := range q.flows {
		shares[f.workspace] += float64(len(f.queue)) / float64(f.queue[0].request.Weight)
	}
	return shares
}

// removeNewest removes the newest request of a workspace's lowest class.
func (q *fairQueue) removeNewest(workspace string) *queuedRequest {
	var from *flow
	for _, f := range q.flows {
		if f.workspace == workspace && (from == nil || f.class < from.class) {
			from = f
		}
	}
	last := len(from.queue) - 1
	w := from.queue[last]
	q.removeAt(from, last)
	return w
}

// ahead returns the number of queued requests that would start before a new one
// of r's workspace and class.
func (q *fairQueue) ahead(now time.Time, r Request) int {
	start := q.nextStart(r.Workspace) + q.backlogOf(r.Workspace)/float64(r.Weight)
	count := 0
	for _, f := range q.flows {
		class := q.agedClass(now, f)
		switch {
		case class < r.Class:
		case class > r.Class || f.workspace == r.Workspace:
			count += len(f.queue)
		default:
			count += f.startingBefore(start)
		}
	}
	return count
}

// startingBefore returns the number of requests of the flow whose virtual start
// time is not after limit.
func (f *flow) startingBefore(limit float64) int {
	start := f.start
	for i, w := range f.queue {
		if start > limit {
			return i
		}
		start += w.request.Cost / float64(w.request.Weight)
	}
	return len(f.queue)
}

// backlogOf returns the total cost of a workspace's queued requests.
func (q *fairQueue) backlogOf(workspace string) float64 {
	cost := 0.0
	for _, f := range q.flows {
		if f.workspace != workspace {
			continue
		}
		for _, w := range f.queue {
			cost += w.request.Cost
		}
	}
	return cost
}
