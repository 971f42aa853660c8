package containment

import "time"

// maxSoundKeys bounds the keys in each of the two generations of soundKeys.
const maxSoundKeys = 4096

// soundKeys remembers the keys of recent whole responses, for one to two lifetimes, or
// less if there are many. The keys are kept in two generations, of which the older one is
// dropped as a whole.
type soundKeys struct {
	lifetime        time.Duration
	begun           time.Time
	current, former map[uint64]struct{}
}

func newSoundKeys(lifetime time.Duration) soundKeys {
	return soundKeys{lifetime: lifetime, current: make(map[uint64]struct{})}
}

func (s *soundKeys) add(now time.Time, keys []uint64) {
	if now.Sub(s.begun) >= s.lifetime || len(s.current) >= maxSoundKeys {
		s.former, s.current, s.begun = s.current, make(map[uint64]struct{}), now
	}
	for _, key := range keys {
		s.current[key] = struct{}{}
	}
}

func (s *soundKeys) has(key uint64) bool {
	_, recent := s.current[key]
	_, former := s.former[key]
	return recent || former
}
