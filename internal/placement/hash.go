package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Increment and multipliers of the SplitMix64 finalizer.
const (
	mixIncrement = 0x9e3779b97f4a7c15
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
)

// mix makes every output bit depend on every input bit.
func mix(x uint64) uint64 {
	x += mixIncrement
	x = (x ^ (x >> 30)) * mixFirst
	x = (x ^ (x >> 27)) * mixSecond
	return x ^ (x >> 31)
}

// pairHash returns the hash of a key and a name.
func pairHash(key uint64, name string) uint64 {
	return mix(mix(key) ^ xxhash.Sum64String(name))
}

// unit maps a hash to the open interval (0, 1).
func unit(h uint64) float64 {
	const mantissaBits = 53
	return (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// Uniform returns a value in (0, 1) that is determined by a text and uniformly
// distributed over texts.
func Uniform(text string) float64 { return unit(mix(xxhash.Sum64String(text))) }

// rendezvousScore returns the score of weighted rendezvous hashing: a name gets a
// share of the keys in proportion to its weight.
func rendezvousScore(key uint64, name string, weight float64) float64 {
	return weightOrDefault(weight) / -math.Log(unit(pairHash(key, name)))
}

// weightOrDefault returns 1 for weights that are not positive.
func weightOrDefault(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
