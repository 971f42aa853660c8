// Package rollout decides how a process gets from its configuration revision to
// the newest one: what to fetch, from whom, and what to apply. It does no I/O
// and reads no clock; revisions are numbers here, their content stays with the
// caller.
package rollout

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Source is where a revision can be fetched: the key-value service, or a peer
// by its address. The zero value is the service.
type Source struct {
	Peer string
}

// Store is the key-value service as a Source.
var Store = Source{}

// Event is an input of a Machine.
type Event interface{ event() }

// Announced reports that a source has a revision.
type Announced struct {
	Source   Source
	Revision uint64
}

// ChangesReceived reports changes in hand, one for each revision in rising
// order. Requested is set when they answer a Fetch.
type ChangesReceived struct {
	Source    Source
	Revisions []uint64
	Requested bool
}

// FullReceived reports a whole copy in hand, as the answer to a Fetch.
type FullReceived struct {
	Source   Source
	Revision uint64
}

// FetchFailed reports that a Fetch got no answer.
type FetchFailed struct {
	Source Source
}

// Tick reports that time has passed.
type Tick struct{}

func (Announced) event()       {}
func (ChangesReceived) event() {}
func (FullReceived) event()    {}
func (FetchFailed) event()     {}
func (Tick) event()            {}

// Effect is an output of a Machine.
type Effect interface{ effect() }

// Fetch asks for the changes after a revision, or a whole copy when they are
// no longer kept.
type Fetch struct {
	Source Source
	After  uint64
}

// ApplyChanges puts the changes of the revisions First to Last in force; they
// are part of the event that was handled.
type ApplyChanges struct {
	First, Last uint64
}

// ApplyFull puts the whole copy of the event that was handled in force.
type ApplyFull struct {
	Revision uint64
}

func (Fetch) effect()        {}
func (ApplyChanges) effect() {}
func (ApplyFull) effect()    {}

// Settings bound a Machine.
type Settings struct {
	// StartGrace is how long a start waits for peers before it asks the service.
	StartGrace time.Duration
	// FetchTimeout is after how long a fetch counts as failed.
	FetchTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after failed fetches.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the bounds that daemons use.
func DefaultSettings() Settings {
	return Settings{
		StartGrace:   500 * time.Millisecond,
		FetchTimeout: 5 * time.Second,
		MinBackoff:   200 * time.Millisecond,
		MaxBackoff:   5 * time.Second,
	}
}

// maxSources bounds the sources that are remembered.
const maxSources = 16

// claim is the newest revision that a source is known to have.
type claim struct {
	source   Source
	revision uint64
}

// Machine holds the state of one process. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand
	start    time.Time

	applied  uint64
	loaded   bool
	claims   []claim
	fetching *fetching
	failures int
	// highest is the highest revision that any source ever claimed.
	highest uint64
	// next is the earliest time of the next fetch.
	next time.Time
}

type fetching struct {
	source   Source
	deadline time.Time
}

// New returns a Machine without a configuration. The seed decides jitter.
func New(settings Settings, seed uint64, now time.Time) *Machine {
	return &Machine{settings: settings, random: rand.New(rand.NewPCG(seed, 0)), start: now, next: now}
}

// Applied returns the revision in force, and whether there is any.
func (m *Machine) Applied() (revision uint64, ok bool) { return m.applied, m.loaded }

// Target returns the highest revision that any source claims.
func (m *Machine) Target() uint64 {
	target := m.applied
	for _, c := range m.claims {
		target = max(target, c.revision)
	}
	return target
}

// Step handles one event. The revision in force never falls.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Announced:
		m.note(e.Source, e.Revision)
	case ChangesReceived:
		effects = m.changes(now, e)
	case FullReceived:
		effects = m.full(now, e)
	case FetchFailed:
		m.failed(now, e.Source)
	case Tick:
		m.expire(now)
	}
	return append(effects, m.fetch(now)...)
}

// note keeps the highest revision of a source, and forgets the lowest claim
// when there are too many.
func (m *Machine) note(source Source, revision uint64) {
	if revision <= m.applied && m.loaded {
		return
	}
	m.hasten(revision)
	for i := range m.claims {
		if m.claims[i].source == source {
			m.claims[i].revision = max(m.claims[i].revision, revision)
			return
		}
	}
	m.claims = append(m.claims, claim{source, revision})
	if len(m.claims) > maxSources {
		m.dropLowest()
	}
}

// hasten ends the pause after failures when a new revision becomes known.
func (m *Machine) hasten(revision uint64) {
	if revision <= m.highest {
		return
	}
	m.highest = revision
	m.failures = 0
	m.next = m.start
}

func (m *Machine) dropLowest() {
	lowest := 0
	for i, c := range m.claims {
		if c.revision < m.claims[lowest].revision {
			lowest = i
		}
	}
	m.claims = slices.Delete(m.claims, lowest, lowest+1)
}

// changes applies those that continue the revision in force; a gap is left to
// the next fetch.
func (m *Machine) changes(now time.Time, e ChangesReceived) []Effect {
	var effects []Effect
	next := m.applied + 1
	for _, revision := range e.Revisions {
		m.note(e.Source, revision)
		if revision == next {
			next++
		}
	}
	if m.loaded && next > m.applied+1 {
		effects = append(effects, ApplyChanges{First: m.applied + 1, Last: next - 1})
		m.advance(next - 1)
	}
	if e.Requested {
		m.answered(now, e.Source, len(effects) > 0)
	}
	return effects
}

func (m *Machine) full(now time.Time, e FullReceived) []Effect {
	newer := !m.loaded || e.Revision > m.applied
	if newer {
		m.loaded = true
		m.advance(e.Revision)
	}
	m.answered(now, e.Source, newer)
	if !newer {
		return nil
	}
	return []Effect{ApplyFull{Revision: e.Revision}}
}

// advance raises the revision in force and forgets claims that it meets.
func (m *Machine) advance(revision uint64) {
	m.applied = revision
	m.claims = slices.DeleteFunc(m.claims, func(c claim) bool { return c.revision <= revision })
}

// answered ends a fetch. A source that brought nothing of what it claims loses
// the claim, so that a false announcement isn't followed at once again.
func (m *Machine) answered(now time.Time, source Source, progress bool) {
	if m.fetching != nil && m.fetching.source == source {
		m.fetching = nil
	}
	if progress {
		m.failures = 0
		return
	}
	if !m.loaded || m.hasClaim(source) {
		m.postpone(now, source)
	}
}

// failed ends a fetch without an answer.
func (m *Machine) failed(now time.Time, source Source) {
	if m.fetching == nil || m.fetching.source != source {
		return
	}
	m.fetching = nil
	m.postpone(now, source)
}

// postpone drops the claim of a source until it announces again, and pauses.
func (m *Machine) postpone(now time.Time, source Source) {
	m.claims = slices.DeleteFunc(m.claims, func(c claim) bool { return c.source == source })
	m.failures++
	m.next = now.Add(m.backoff())
}

func (m *Machine) hasClaim(source Source) bool {
	return slices.ContainsFunc(m.claims, func(c claim) bool { return c.source == source })
}

// backoff doubles with each failure in a row, with jitter of one half.
func (m *Machine) backoff() time.Duration {
	pause := m.settings.MinBackoff << min(m.failures-1, 16)
	pause = min(pause, m.settings.MaxBackoff)
	return pause/2 + time.Duration(m.random.Int64N(int64(pause/2)+1))
}

func (m *Machine) expire(now time.Time) {
	if m.fetching != nil && !now.Before(m.fetching.deadline) {
		m.failed(now, m.fetching.source)
	}
}

// fetch starts a fetch when a source has something newer.
func (m *Machine) fetch(now time.Time) []Effect {
	if m.fetching != nil || now.Before(m.next) {
		return nil
	}
	source, ok := m.choose(now)
	if !ok {
		return nil
	}
	m.fetching = &fetching{source, now.Add(m.settings.FetchTimeout)}
	return []Effect{Fetch{Source: source, After: m.applied}}
}

// choose prefers the highest claim and, among equal ones, peers at random. A
// start without claims goes to the service after the grace.
func (m *Machine) choose(now time.Time) (Source, bool) {
	var best []Source
	highest := uint64(0)
	for _, c := range m.claims {
		if c.revision > highest {
			highest = c.revision
			best = best[:0]
		}
		if c.revision == highest {
			best = append(best, c.source)
		}
	}
	if len(best) == 0 {
		return Store, !m.loaded && !now.Before(m.start.Add(m.settings.StartGrace))
	}
	if peers := withoutStore(best); len(peers) > 0 {
		best = peers
	}
	return best[m.random.IntN(len(best))], true
}

func withoutStore(sources []Source) []Source {
	return slices.DeleteFunc(slices.Clone(sources), func(s Source) bool { return s == Store })
}
