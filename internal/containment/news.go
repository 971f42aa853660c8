package containment

import (
	"time"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// News holds the strikes and trials to send to other daemons. It isn't safe for
// concurrent use.
type News struct {
	strikes *queue[*peerpb.Strike]
	trials  *queue[*peerpb.Trial]
	// repeated is the number of strikes of blamed keys that were sent once more.
	repeated int
}

// NewNews returns an empty News.
func NewNews() *News { return &News{strikes: newStrikeQueue(), trials: newTrialQueue()} }

// AddStrike queues a strike and reports whether it is new.
func (n *News) AddStrike(now time.Time, s *peerpb.Strike) bool { return n.strikes.add(now, s) }

// AddTrial queues a trial and reports whether it is new.
func (n *News) AddTrial(now time.Time, t *peerpb.Trial) bool { return n.trials.add(now, t) }

// TakeStrikes returns up to limit strikes for one datagram; daemons is the number of
// daemons in the fleet. If there is room left, one of the strikes for which requests are
// refused is added, in turn, so that daemons that were unreachable or have just started
// learn of them.
func (n *News) TakeStrikes(limit, daemons int, blamed func() []*peerpb.Strike) []*peerpb.Strike {
	out := n.strikes.take(limit, daemons)
	if len(out) >= limit {
		return out
	}
	if again := blamed(); len(again) > 0 {
		n.repeated++
		out = append(out, again[n.repeated%len(again)])
	}
	return out
}

// TakeTrials returns up to limit trials for one datagram; daemons is the number of daemons
// in the fleet.
func (n *News) TakeTrials(limit, daemons int) []*peerpb.Trial { return n.trials.take(limit, daemons) }

// Forget drops the strikes and trials that were seen long ago.
func (n *News) Forget(now time.Time) {
	n.strikes.forget(now)
	n.trials.forget(now)
}
