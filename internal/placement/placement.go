// Package placement chooses the engine for a chat or prompt, the instance for a
// service call, and the router that owns an engine. Its choices depend only on
// the arguments, so that all routers agree for the same input.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Candidate is an engine or service instance that may receive a request.
type Candidate struct {
	Name string
	// Weight is the relative capacity; zero and negative values count as 1.
	Weight float64
	// InFlight is the last known number of requests in flight.
	InFlight int
}

// Request holds the properties of a request that strategies use.
type Request struct {
	// Key identifies the chat; requests with equal keys share cached prefixes.
	Key uint64
	// Nonce is different for each request, including those of one chat.
	Nonce uint64
}

// Strategy ranks the candidates for a request, the preferred one first.
type Strategy interface {
	// Rank appends the indices of all candidates in order of preference to dst
	// and returns it. Candidates must be sorted by name.
	Rank(r Request, candidates []Candidate, dst []int) []int
}

// Names of the strategies in the settings.
const (
	NameRendezvous  = "rendezvous"
	NameModulo      = "modulo"
	NameRandom      = "random"
	NameLeastLoaded = "least-loaded"
	NameLeastOfTwo  = "least-of-two"
)

// ErrUnknownStrategy is returned for a name that is not a known strategy.
var ErrUnknownStrategy = errors.New("unknown placement strategy: " +
	"use rendezvous, modulo, random, least-loaded or least-of-two")

// ByName returns the strategy with a name, or ErrUnknownStrategy.
func ByName(name string) (Strategy, error) {
	switch name {
	case NameRendezvous:
		return Rendezvous{}, nil
	case NameModulo:
		return Modulo{}, nil
	case NameRandom:
		return Random{}, nil
	case NameLeastLoaded:
		return LeastLoaded{}, nil
	case NameLeastOfTwo:
		return LeastOfTwo{}, nil
	default:
		return nil, errors.Wrapf(ErrUnknownStrategy, "%q", name)
	}
}

// Key returns the hash of a chat's identity.
func Key(s string) uint64 { return xxhash.Sum64String(s) }

// scored is a candidate's index with its score; the highest score ranks first.
type scored struct {
	score float64
	index int
}

// stackCandidates is the maximum number of candidates that are ranked without a
// heap allocation.
const stackCandidates = 64

// rankBy appends the indices by descending score; of equal scores, the lower
// index comes first.
func rankBy(candidates []Candidate, dst []int, score func(i int) float64) []int {
	var onStack [stackCandidates]scored
	all := onStack[:0]
	if len(candidates) > stackCandidates {
		all = make([]scored, 0, len(candidates))
	}
	for i := range candidates {
		all = append(all, scored{score: score(i), index: i})
	}
	slices.SortFunc(all, byScore)
	for _, s := range all {
		dst = append(dst, s.index)
	}
	return dst
}

func byScore(a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}
