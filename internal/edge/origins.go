package edge

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/verbenatrail/verbenatrail/internal/boottime"
	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/instances"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/origins"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

const (
	// servedWriteTimeout bounds one write of the record of versions, servedRetry is the
	// delay after one that failed.
	servedWriteTimeout = time.Second
	servedRetry        = 250 * time.Millisecond
	// servedStandIn is how long a router that doesn't follow the store leaves the writing to
	// those that do.
	servedStandIn = 400 * time.Millisecond
	// minOriginInterval is the least time between two writes of a router's record of streams.
	minOriginInterval = 100 * time.Millisecond
	// originWriteShare is the part of the store's writes, a twelfth, that the routers' records
	// of streams may take together. Each is billed.
	originWriteShare = 12
	// defaultStoreWritesPerS is what a store allows whose settings don't tell.
	defaultStoreWritesPerS = 400
)

// servedState is what the control goroutine knows of the record of versions.
type servedState struct {
	versions *origins.Versions
	// listed are the versions of the last listing, window is how long they are kept.
	listed origins.ServiceVersions
	window time.Duration
	// record is that of the copy of the store's records, nil if there is none, with its
	// revision. What this router has written itself counts once it is in the copy, since the
	// other routers hear then that theirs lacks it.
	record   *peerpb.ServedVersions
	revision int64
	writing  bool
	nextTry  time.Time
	// neededSince is since when the record has had to be written, zero if it hasn't.
	neededSince time.Time
}

// publishVersions applies the listed versions and the copied record.
func (c *control) publishVersions(now time.Time, s Snapshot) {
	if s.Table == nil {
		return
	}
	services, longestTimeout := s.Table.ResumableServices()
	c.served.listed, c.served.window = listedVersions(s.Instances, services), origins.Window(longestTimeout)
	c.copyServed(s.ServedVersions)
	c.updateVersions(now)
}

// listedVersions returns the versions of the instances of some services.
func listedVersions(listed []instances.Instance, services map[string]bool) origins.ServiceVersions {
	versions := make(origins.ServiceVersions)
	for _, i := range listed {
		if services[i.Service] && !slices.Contains(versions[i.Service], i.Version) {
			versions[i.Service] = append(versions[i.Service], i.Version)
		}
	}
	return versions
}

// copyServed applies the record of versions in the copy of the store's records.
func (c *control) copyServed(entry *kv.Entry) {
	v := &c.served
	switch {
	case entry == nil:
		v.record, v.revision = nil, 0
	case entry.ModRevision != v.revision:
		v.record, v.revision = c.edge.decodeServed(*entry), entry.ModRevision
		c.edge.options.Log.Decision("versions on record", decisionlog.Fields{
			"services": describeServed(v.record), "confirmed": v.record.GetConfirmed(), "era": v.record.GetEra(),
			"revision": kv.RawRevision(v.revision),
		})
	}
}

// updateVersions decides whether the record of versions has to be written, and passes what
// is known to the calls.
func (c *control) updateVersions(now time.Time) {
	v := &c.served
	if v.listed == nil {
		return
	}
	v.versions.Update(now, kv.EraOf(c.mirror.Revision()), v.record, v.listed, v.window)
	next, differs := v.versions.Next(now)
	if !differs {
		v.neededSince = time.Time{}
	} else {
		c.writeServed(now, next)
	}
	several := make(map[string]bool)
	for service := range v.listed {
		if v.versions.Several(service) {
			several[service] = true
		}
	}
	c.edge.origins.SetState(origins.State{
		Served: v.versions.Served(), Usable: v.versions.Usable(now), Complete: v.versions.Complete(), Several: several,
		Current: c.isCurrent(), At: boottime.Now(), Window: v.window, RecordInterval: c.edge.originInterval(c.members.RouterCount()),
	})
}

// isCurrent reports whether this router hears most of the others, and none that has a later
// copy of the records.
func (c *control) isCurrent() bool {
	expected := max(c.members.ExpectedCount(), len(c.discovered)+1)
	return 2*(len(c.members.Live())+1) > expected && c.requiredRevision() <= c.mirror.Revision()
}

// writeServed writes the record of versions, at once if this router follows the store.
func (c *control) writeServed(now time.Time, next *peerpb.ServedVersions) {
	v := &c.served
	if v.neededSince.IsZero() {
		v.neededSince = now
	}
	if v.writing || now.Before(v.nextTry) || !c.follow.healthy() && now.Sub(v.neededSince) < servedStandIn {
		return
	}
	v.writing = true
	copied, since := v.record, v.neededSince
	go func() {
		written := c.edge.writeServed(copied, next)
		written.neededSince = since
		c.edge.post(written)
	}()
}

// servedWritten is the result of a write of the record of versions.
type servedWritten struct {
	record   *peerpb.ServedVersions
	revision int64
	err      error
	// neededSince is since when the write was needed.
	neededSince time.Time
}

// writeServed writes the record of versions if nobody else has changed it meanwhile.
func (e *Edge) writeServed(copied, next *peerpb.ServedVersions) servedWritten {
	ctx, cancel := context.WithTimeout(context.Background(), servedWriteTimeout)
	defer cancel()
	key, store := e.options.Provider.OriginsKey(), e.options.Store
	entry, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return servedWritten{err: err}
	}
	var current *peerpb.ServedVersions
	if err == nil {
		current = e.decodeServed(entry)
	}
	merged := origins.MergeServed(current, copied, next)
	if current != nil && proto.Equal(current, merged) {
		return servedWritten{record: current, revision: entry.ModRevision}
	}
	value, err := proto.Marshal(merged)
	if err != nil {
		return servedWritten{err: err}
	}
	result, err := store.Commit(ctx, kv.Txn{
		If: []kv.Compare{{Key: key, ModRevision: entry.ModRevision}}, Then: []kv.Op{kv.Put(key, value)},
	})
	if err == nil && !result.Succeeded {
		err = errServedChanged
	}
	return servedWritten{record: merged, revision: result.Revision, err: err}
}

// errServedChanged means that another router has changed the record of versions.
var errServedChanged = errors.New("another router has changed the record of versions: it is read and written again")

func (w servedWritten) apply(c *control, now time.Time) {
	v := &c.served
	v.writing = false
	log := c.edge.options.Log
	switch {
	case errors.Is(w.err, errServedChanged):
		c.updateVersions(now)
	case w.err != nil:
		v.nextTry = now.Add(servedRetry)
		log.Failure("versions not recorded", w.err, decisionlog.Fields{"needed_ms": now.Sub(w.neededSince).Milliseconds()})
	default:
		// The copy has it in a moment.
		v.nextTry = now.Add(servedStandIn)
		log.Decision("versions recorded", decisionlog.Fields{
			"services": describeServed(w.record), "confirmed": w.record.GetConfirmed(), "era": w.record.GetEra(),
			"revision": kv.RawRevision(w.revision), "needed_ms": now.Sub(w.neededSince).Milliseconds(),
		})
	}
}

// describeServed returns the versions of a record by service, for the log.
func describeServed(record *peerpb.ServedVersions) map[string][]string {
	described := make(map[string][]string)
	for _, s := range record.GetServices() {
		described[s.GetService()] = s.GetVersions()
	}
	return described
}

// originInterval returns the time between two writes of this router's record of streams in a
// fleet of a size.
func (e *Edge) originInterval(routers int) time.Duration {
	writesPerS := e.options.Settings.StoreWritesPerS
	if writesPerS <= 0 {
		writesPerS = defaultStoreWritesPerS
	}
	share := time.Duration(float64(time.Second) * float64(routers) * originWriteShare / writesPerS)
	return max(minOriginInterval, share)
}

// fleetSize returns the number of live routers, including this one.
func (e *Edge) fleetSize() int { return len(*e.routers.Load()) + 1 }
