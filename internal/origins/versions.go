package origins

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

// ServiceVersions are software versions by service.
type ServiceVersions map[string][]string

// decodeServed returns the versions of a record.
func decodeServed(record *peerpb.ServedVersions) ServiceVersions {
	versions := make(ServiceVersions, len(record.GetServices()))
	for _, s := range record.GetServices() {
		versions[s.GetService()] = s.GetVersions()
	}
	return versions
}

// encodeServed returns an unconfirmed record of versions.
func encodeServed(versions ServiceVersions) *peerpb.ServedVersions {
	record := &peerpb.ServedVersions{}
	for _, service := range slices.Sorted(maps.Keys(versions)) {
		if names := versions[service]; len(names) > 0 {
			record.Services = append(record.Services, &peerpb.ServiceVersions{Service: service, Versions: slices.Sorted(slices.Values(names))})
		}
	}
	return record
}

// complete reports whether a record misses no version at an era of the store.
func complete(record *peerpb.ServedVersions, era int64) bool {
	return record.GetConfirmed() && record.GetEra() == era
}

// spreadTime is how long it takes until the other routers have a change of the records, or
// know that they lack it: a round of digests and some time for its way.
const spreadTime = 350 * time.Millisecond

// restoreSettleTime is how long after a restore of the store a router waits before it
// confirms the versions that it knows: the routers' copies differ by less.
const restoreSettleTime = time.Second

// Versions decides what the record of versions in the store has to hold. It does no I/O and
// is not safe for concurrent use.
type Versions struct {
	firstStart bool
	// startedAt is when the versions were first updated, zero before.
	startedAt time.Time
	// complete is set once this router knows of all versions that can have begun a stream
	// within the window.
	complete bool
	// era is the last era of the store, eraSince when it was first seen.
	era      int64
	eraSince time.Time
	// lastSeen is when a version of a service was last listed, or first read from the record.
	lastSeen map[string]map[string]time.Time
	// stored is the record in the store, nil if there is none.
	stored *peerpb.ServedVersions
	// readAt is when a version of a service was first read from the record, which may have
	// lost it in a restore since.
	readAt map[string]map[string]time.Time
}

// NewVersions returns Versions without a record. The argument firstStart is set if the whole
// system starts for the first time, so that no stream has begun before.
func NewVersions(firstStart bool) *Versions {
	return &Versions{firstStart: firstStart, lastSeen: make(map[string]map[string]time.Time), readAt: make(map[string]map[string]time.Time)}
}

// Update sets the listed versions of the services whose streams may be resumed, and the
// record in the store, nil if there is none, at an era of the store.
func (v *Versions) Update(now time.Time, era int64, record *peerpb.ServedVersions, listed ServiceVersions, window time.Duration) {
	first := v.startedAt.IsZero()
	v.updateEra(now, era, first)
	v.updateRecord(now, record, first)
	for service, versions := range listed {
		for _, version := range versions {
			set(v.lastSeen, service, version, now)
		}
	}
	if complete(record, era) || v.firstStart && first && record == nil || now.Sub(v.startedAt) >= window {
		v.complete = true
	}
	v.forget(now, window)
}

// updateEra sets the era of the store. At the first update, other routers have been running
// through a restore, if there was one.
func (v *Versions) updateEra(now time.Time, era int64, first bool) {
	switch {
	case first:
		v.startedAt, v.era, v.eraSince = now, era, now.Add(-restoreSettleTime)
	case era != v.era:
		v.era, v.eraSince = era, now
	}
}

// updateRecord sets the record in the store. At the first update, the other routers have read
// it, too.
func (v *Versions) updateRecord(now time.Time, record *peerpb.ServedVersions, first bool) {
	v.stored = record
	readAt := now
	if first {
		readAt = now.Add(-spreadTime)
	}
	for _, s := range record.GetServices() {
		for _, version := range s.GetVersions() {
			if v.lastSeen[s.GetService()][version].IsZero() {
				set(v.lastSeen, s.GetService(), version, now)
			}
			if v.readAt[s.GetService()][version].IsZero() {
				set(v.readAt, s.GetService(), version, readAt)
			}
		}
	}
}

// set sets the time of a version.
func set(times map[string]map[string]time.Time, service, version string, at time.Time) {
	if times[service] == nil {
		times[service] = make(map[string]time.Time)
	}
	times[service][version] = at
}

// forget drops versions that have begun no stream within the window.
func (v *Versions) forget(now time.Time, window time.Duration) {
	for service, versions := range v.lastSeen {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) >= window })
		if len(versions) == 0 {
			delete(v.lastSeen, service)
		}
	}
	for service, versions := range v.readAt {
		maps.DeleteFunc(versions, func(version string, _ time.Time) bool { return v.lastSeen[service][version].IsZero() })
	}
}

// Served returns the recorded versions.
func (v *Versions) Served() ServiceVersions { return decodeServed(v.stored) }

// Usable returns the versions at which streams may begin: those that have been on record for
// so long that the other routers know of them.
func (v *Versions) Usable(now time.Time) ServiceVersions {
	usable := make(ServiceVersions)
	for service, versions := range v.readAt {
		for version, at := range versions {
			if now.Sub(at) >= spreadTime {
				usable[service] = append(usable[service], version)
			}
		}
	}
	return usable
}

// Complete reports whether the record misses no version.
func (v *Versions) Complete() bool { return complete(v.stored, v.era) }

// Several reports whether streams of a service may be of more than one version: they then
// have to be recorded.
func (v *Versions) Several(service string) bool {
	return !v.Complete() || len(v.lastSeen[service]) > 1
}

// Next returns the record that the store has to hold, and whether it differs from the
// present one. Versions are added as soon as they are listed, and removed once they have
// not been for the window.
func (v *Versions) Next(now time.Time) (next *peerpb.ServedVersions, differs bool) {
	if v.startedAt.IsZero() {
		return nil, false
	}
	versions := make(ServiceVersions)
	for service, seen := range v.lastSeen {
		versions[service] = slices.Collect(maps.Keys(seen))
	}
	next = encodeServed(versions)
	next.Confirmed, next.Era = v.stored.GetConfirmed(), v.stored.GetEra()
	if v.complete && now.Sub(v.eraSince) >= restoreSettleTime {
		next.Confirmed, next.Era = true, v.era
	}
	if v.stored == nil {
		return next, len(next.GetServices()) > 0
	}
	return next, !proto.Equal(next, v.stored)
}

// MergeServed returns the record to write in place of the current one, which other routers
// may have changed since the copy from which next was decided: what they have added stays.
func MergeServed(current, copied, next *peerpb.ServedVersions) *peerpb.ServedVersions {
	versions, known := decodeServed(next), decodeServed(copied)
	for service, names := range decodeServed(current) {
		for _, name := range names {
			if !slices.Contains(known[service], name) && !slices.Contains(versions[service], name) {
				versions[service] = append(versions[service], name)
			}
		}
	}
	merged := encodeServed(versions)
	merged.Confirmed, merged.Era = next.GetConfirmed(), next.GetEra()
	if current.GetConfirmed() && current.GetEra() >= next.GetEra() {
		merged.Confirmed, merged.Era = true, current.GetEra()
	}
	return merged
}
