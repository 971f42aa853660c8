package standin

import "time"

// Lagged keeps the recent versions of a value so that readers see the value as
// it was a fixed lag ago. It is not safe for concurrent use.
type Lagged[T any] struct {
	lag      time.Duration
	versions []version[T]
}

type version[T any] struct {
	at    time.Time
	value T
}

// NewLagged returns a Lagged whose initial value is visible immediately; later
// versions become visible after lag.
func NewLagged[T any](lag time.Duration, initial T) *Lagged[T] {
	return &Lagged[T]{lag: lag, versions: []version[T]{{value: initial}}}
}

// Set records a new version.
func (l *Lagged[T]) Set(now time.Time, value T) {
	l.prune(now)
	l.versions = append(l.versions, version[T]{at: now, value: value})
}

// Latest returns the newest version.
func (l *Lagged[T]) Latest() T {
	return l.versions[len(l.versions)-1].value
}

// Visible returns the version that readers see at the time now.
func (l *Lagged[T]) Visible(now time.Time) T {
	l.prune(now)
	return l.versions[0].value
}

// prune removes the versions older than the visible one.
func (l *Lagged[T]) prune(now time.Time) {
	threshold := now.Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(threshold) {
		l.versions = l.versions[1:]
	}
}
