package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// shareTime is the time constant of the decay of the counts of workspaces.
	shareTime = 4 * time.Second
	// minShareCount is the decayed number of calls of a workspace up to which it is
	// never beyond its fair share: single calls are no pattern.
	minShareCount = 3
	// hotFactor is the multiple of the fair share from which on a workspace counts as
	// beyond it. A router sees few calls of each, so that chance makes some exceed it.
	hotFactor = 2
	// forgetCount is the decayed number of calls below which a workspace is dropped.
	forgetCount = 0.01
)

// Shares are the decayed numbers of calls of each workspace, and of all calls that
// were admitted. They aren't safe for concurrent use.
type Shares struct {
	demand   map[string]float64
	total    float64
	admitted float64
	updated  time.Time
}

// NewShares returns shares without calls.
func NewShares() *Shares { return &Shares{demand: make(map[string]float64)} }

// RecordDemand counts a call of a workspace.
func (s *Shares) RecordDemand(now time.Time, workspace string) {
	s.decay(now)
	s.demand[workspace]++
	s.total++
}

// RecordAdmitted counts a call that is admitted.
func (s *Shares) RecordAdmitted(now time.Time) {
	s.decay(now)
	s.admitted++
}

func (s *Shares) decay(now time.Time) {
	elapsed := now.Sub(s.updated)
	if s.updated.IsZero() || elapsed <= 0 {
		s.updated = now
		return
	}
	s.updated = now
	factor := math.Exp(-elapsed.Seconds() / shareTime.Seconds())
	s.total *= factor
	s.admitted *= factor
	for workspace := range s.demand {
		if s.demand[workspace] *= factor; s.demand[workspace] < forgetCount {
			delete(s.demand, workspace)
		}
	}
}

// Share is how a call stands to the max-min fair share of its workspace in the calls
// that are admitted.
type Share int

// Shares of calls.
const (
	// Even: no workspace is beyond its fair share, or it isn't known.
	Even Share = iota
	// Protected: the workspace is within its fair share, and another one is not.
	Protected
	// Surplus: the call is among those by which its workspace is beyond its fair share.
	Surplus
)

// String returns the share as it appears in logs.
func (s Share) String() string { return [...]string{"even", "protected", "surplus"}[s] }

// Classify returns the share of a call. Random decides which calls of a workspace
// beyond its fair share are surplus.
func (s *Shares) Classify(now time.Time, workspace string, random float64) Share {
	s.decay(now)
	if s.admitted >= s.total {
		return Even
	}
	fair, highest := s.fairShare()
	demand := s.demand[workspace]
	hot := hotFactor * max(fair, minShareCount)
	switch {
	case highest <= hot:
		return Even
	case demand <= hot:
		return Protected
	case random >= fair/demand:
		return Surplus
	default:
		return Even
	}
}

// fairShare returns the highest number of calls of any workspace if all that are
// admitted are divided by max-min fairness, and the highest demand.
func (s *Shares) fairShare() (fair, highest float64) {
	demands := make([]float64, 0, len(s.demand))
	for _, demand := range s.demand {
		demands = append(demands, demand)
	}
	slices.Sort(demands)
	highest = demands[len(demands)-1]
	left := s.admitted
	for i, demand := range demands {
		share := left / float64(len(demands)-i)
		if demand >= share {
			return share, highest
		}
		left -= demand
	}
	return math.Inf(1), highest
}
