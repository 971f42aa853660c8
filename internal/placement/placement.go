// Package placement computes where a chat belongs and which router owns an
// engine. All functions are pure: the same arguments give the same answer on
// every router.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Candidate is one engine or service instance that may take a request.
type Candidate struct {
	Name string
	// Weight is the relative capacity; zero and less count as 1.
	Weight float64
	// InFlight is the number of requests it holds, as far as known.
	InFlight int
}

// Request is what a strategy knows about a request.
type Request struct {
	// Key identifies the chat; requests with equal keys share cached prefixes.
	Key uint64
	// Nonce differs between requests, also of one chat.
	Nonce uint64
}

// Strategy orders the candidates for a request, the preferred one first.
type Strategy interface {
	// Rank appends the indices of all candidates in order of preference to dst
	// and returns it. Candidates are in name order.
	Rank(r Request, candidates []Candidate, dst []int) []int
}

// Names of the strategies, as settings write them.
const (
	NameRendezvous  = "rendezvous"
	NameModulo      = "modulo"
	NameRandom      = "random"
	NameLeastLoaded = "least-loaded"
	NameLeastOfTwo  = "least-of-two"
)

// ErrUnknownStrategy reports a name that no strategy has.
var ErrUnknownStrategy = errors.New("unknown placement strategy: " +
	"write rendezvous, modulo, random, least-loaded or least-of-two")

// ByName returns the strategy of a name, or ErrUnknownStrategy.
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

// scored is a candidate's index with its preference; the highest goes first.
type scored struct {
	score float64
	index int
}

// stackCandidates is the number of candidates that are ranked without
// allocation.
const stackCandidates = 64

// rankBy appends the indices by falling score; ties go to the lower index.
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
