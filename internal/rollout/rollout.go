// Package rollout is the state machine that updates a process from its configuration
// revision to the newest one: it decides what to fetch, from which source, and what to
// apply. It does no I/O and reads no clock. It handles only revision numbers; the
// caller holds the contents.
package rollout

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Source is where revisions can be fetched: the key-value service, or the peer with
// the given address. The zero value is the key-value service.
type Source struct {
	Peer string
}

// Store is the key-value service as a Source.
var Store = Source{}

// Event is an input to a Machine.
type Event interface{ event() }

// Announced reports that a source has a revision.
type Announced struct {
	Source   Source
	Revision uint64
}

// ChangesReceived reports that the caller has received changes, one per revision in
// ascending order. Requested is set if they are the response to a Fetch.
type ChangesReceived struct {
	Source    Source
	Revisions []uint64
	Requested bool
}

// FullReceived reports that the caller has received a full copy as the response to a
// Fetch.
type FullReceived struct {
	Source   Source
	Revision uint64
}

// FetchFailed reports that a Fetch failed.
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

// Fetch requests the changes after a revision, or a full copy if they are no longer
// retained.
type Fetch struct {
	Source Source
	After  uint64
}

// ApplyChanges applies the changes of the revisions First to Last, which are part of
// the event that was handled.
type ApplyChanges struct {
	First, Last uint64
}

// ApplyFull applies the full copy of the event that was handled.
type ApplyFull struct {
	Revision uint64
}

func (Fetch) effect()        {}
func (ApplyChanges) effect() {}
func (ApplyFull) effect()    {}

// Settings configures a Machine.
type Settings struct {
	// StartGrace is how long a starting process waits for announcements of peers before
	// it fetches from the key-value service.
	StartGrace time.Duration
	// FetchTimeout is the time after which a fetch is considered failed.
	FetchTimeout time.Duration
	// MinBackoff and MaxBackoff bound the back-off after failed fetches.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		StartGrace:   500 * time.Millisecond,
		FetchTimeout: 5 * time.Second,
		MinBackoff:   200 * time.Millisecond,
		MaxBackoff:   5 * time.Second,
	}
}

// maxSources limits the number of sources whose announcements are recorded.
const maxSources = 16

// announcement is the highest revision that a source has announced or delivered.
type announcement struct {
	source   Source
	revision uint64
}

// Machine is the rollout state of one process. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand
	start    time.Time

	applied       uint64
	loaded        bool
	announcements []announcement
	pending       *pendingFetch
	failures      int
	// highest is the highest revision that any source has ever announced or delivered.
	highest uint64
	// nextFetch is the earliest time of the next fetch.
	nextFetch time.Time
}

type pendingFetch struct {
	source   Source
	deadline time.Time
}

// New returns a Machine without a configuration. The seed determines the jitter and the
// choice among peers.
func New(settings Settings, seed uint64, now time.Time) *Machine {
	return &Machine{settings: settings, random: rand.New(rand.NewPCG(seed, 0)), start: now, nextFetch: now}
}

// Applied returns the revision in force, and whether one has been applied.
func (m *Machine) Applied() (revision uint64, ok bool) { return m.applied, m.loaded }

// Target returns the highest revision that is applied or announced.
func (m *Machine) Target() uint64 {
	target := m.applied
	for _, a := range m.announcements {
		target = max(target, a.revision)
	}
	return target
}

// Step handles one event. The revision in force never decreases.
func (m *Machine) Step(now time.Time, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Announced:
		m.recordAnnouncement(e.Source, e.Revision)
	case ChangesReceived:
		effects = m.handleChanges(now, e)
	case FullReceived:
		effects = m.handleFull(now, e)
	case FetchFailed:
		m.handleFailure(now, e.Source)
	case Tick:
		m.checkTimeout(now)
	}
	return append(effects, m.startFetch(now)...)
}

// recordAnnouncement records the highest revision of a source. If there are too many
// sources, it drops the announcement of the lowest revision.
func (m *Machine) recordAnnouncement(source Source, revision uint64) {
	if revision <= m.applied && m.loaded {
		return
	}
	m.resetBackoffIfNewer(revision)
	for i := range m.announcements {
		if m.announcements[i].source == source {
			m.announcements[i].revision = max(m.announcements[i].revision, revision)
			return
		}
	}
	m.announcements = append(m.announcements, announcement{source, revision})
	if len(m.announcements) > maxSources {
		m.dropLowest()
	}
}

// resetBackoffIfNewer ends the back-off after failures if the revision is higher than
// any announced before.
func (m *Machine) resetBackoffIfNewer(revision uint64) {
	if revision <= m.highest {
		return
	}
	m.highest = revision
	m.failures = 0
	m.nextFetch = m.start
}

func (m *Machine) dropLowest() {
	lowest := 0
	for i, a := range m.announcements {
		if a.revision < m.announcements[lowest].revision {
			lowest = i
		}
	}
	m.announcements = slices.Delete(m.announcements, lowest, lowest+1)
}

// handleChanges applies the changes that continue the revision in force without a gap.
// Missing revisions are left to the next fetch.
func (m *Machine) handleChanges(now time.Time, e ChangesReceived) []Effect {
	var effects []Effect
	next := m.applied + 1
	for _, revision := range e.Revisions {
		m.recordAnnouncement(e.Source, revision)
		if revision == next {
			next++
		}
	}
	if m.loaded && next > m.applied+1 {
		effects = append(effects, ApplyChanges{First: m.applied + 1, Last: next - 1})
		m.advance(next - 1)
	}
	if e.Requested {
		m.endFetch(now, e.Source, len(effects) > 0)
	}
	return effects
}

func (m *Machine) handleFull(now time.Time, e FullReceived) []Effect {
	newer := !m.loaded || e.Revision > m.applied
	if newer {
		m.loaded = true
		m.advance(e.Revision)
	}
	m.endFetch(now, e.Source, newer)
	if !newer {
		return nil
	}
	return []Effect{ApplyFull{Revision: e.Revision}}
}

// advance sets the revision in force and drops announcements that aren't newer.
func (m *Machine) advance(revision uint64) {
	m.applied = revision
	m.announcements = slices.DeleteFunc(m.announcements, func(a announcement) bool { return a.revision <= revision })
}

// endFetch ends a fetch that got a response. If the response had nothing to apply and
// the source has announced a newer revision, or none is applied yet, it counts as a
// failure: the announcement is dropped, so that a false one isn't followed again
// immediately.
func (m *Machine) endFetch(now time.Time, source Source, progress bool) {
	if m.pending != nil && m.pending.source == source {
		m.pending = nil
	}
	if progress {
		m.failures = 0
		return
	}
	if !m.loaded || m.hasAnnouncement(source) {
		m.recordFailure(now, source)
	}
}

// handleFailure ends a fetch that failed or timed out.
func (m *Machine) handleFailure(now time.Time, source Source) {
	if m.pending == nil || m.pending.source != source {
		return
	}
	m.pending = nil
	m.recordFailure(now, source)
}

// recordFailure drops the announcement of a source until it announces again, and
// starts the back-off.
func (m *Machine) recordFailure(now time.Time, source Source) {
	m.announcements = slices.DeleteFunc(m.announcements, func(a announcement) bool { return a.source == source })
	m.failures++
	m.nextFetch = now.Add(m.backoff())
}

func (m *Machine) hasAnnouncement(source Source) bool {
	return slices.ContainsFunc(m.announcements, func(a announcement) bool { return a.source == source })
}

// backoff returns a delay that doubles with each consecutive failure; up to half of it
// is jitter.
func (m *Machine) backoff() time.Duration {
	delay := m.settings.MinBackoff << min(m.failures-1, 16)
	delay = min(delay, m.settings.MaxBackoff)
	return delay/2 + time.Duration(m.random.Int64N(int64(delay/2)+1))
}

func (m *Machine) checkTimeout(now time.Time) {
	if m.pending != nil && !now.Before(m.pending.deadline) {
		m.handleFailure(now, m.pending.source)
	}
}

// startFetch starts a fetch if a source has a newer revision and neither a pending
// fetch nor the back-off prevents it.
func (m *Machine) startFetch(now time.Time) []Effect {
	if m.pending != nil || now.Before(m.nextFetch) {
		return nil
	}
	source, ok := m.chooseSource(now)
	if !ok {
		return nil
	}
	m.pending = &pendingFetch{source, now.Add(m.settings.FetchTimeout)}
	return []Effect{Fetch{Source: source, After: m.applied}}
}

// chooseSource chooses a source that announced the highest revision, preferring peers to
// the key-value service and choosing at random among peers. If there are no
// announcements and no revision is applied, it chooses the key-value service once
// StartGrace has passed.
func (m *Machine) chooseSource(now time.Time) (Source, bool) {
	var best []Source
	highest := uint64(0)
	for _, a := range m.announcements {
		if a.revision > highest {
			highest = a.revision
			best = best[:0]
		}
		if a.revision == highest {
			best = append(best, a.source)
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
