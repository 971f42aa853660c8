package edge

import (
	"math/rand/v2"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
)

// storeSource is the source of records in logs that come from the store itself.
const storeSource = "store"

// registrationSpacing is the mean time between two routers of a fleet that write
// their records again after a restore of the store. Each makes two write calls, so
// that 200 writes a second are used, half of what a small store allows.
const registrationSpacing = 10 * time.Millisecond

// handleEraChange handles the first copy of a later era than the one that this router
// had: the store was restored from an older copy. Entries of instances that the copy
// lacks stay in use until they are written again, and this router's own record and
// lease are gone. It must be called before the records are published.
func (c *control) handleEraChange(had int64, source string) {
	revision := c.mirror.Revision()
	if had == 0 || kv.EraOf(revision) <= kv.EraOf(had) {
		return
	}
	delay := rand.N(time.Duration(c.members.RouterCount()) * registrationSpacing)
	c.edge.options.Log.Lifecycle("store was restored from an older copy", decisionlog.Fields{
		"era": kv.EraOf(revision), "revision": kv.RawRevision(revision), "had_era": kv.EraOf(had), "had": kv.RawRevision(had),
		"source": source, "registers_again_ms": delay.Milliseconds(),
	})
	c.edge.balancer.ListingRestarted()
	c.edge.origins.Rewrite()
	// The copy may lack this router's record of crashes.
	c.crashRecord.struck = c.crashRecord.struck || c.crashRecord.stored != 0
	c.crashRecord.stored = 0
	select {
	case c.edge.reregister <- registrationLost{delay: delay}:
	default:
		// The last loss has not been handled yet; writing the record once is enough.
	}
}

// checkStoreEra notes the highest era that any response of the store has named: calls
// that read no records may be the first to see a restore.
func (c *control) checkStoreEra() {
	if c.edge.options.StoreEra != nil {
		c.records.storeEra = c.edge.options.StoreEra()
	}
}

// storeRequirement is the revision that the store itself shows the copy has to reach:
// the one it reported last, or the first of an era that it has named since. A router
// without a copy waits for its turn to read the store, whatever the era.
func (c *control) storeRequirement() int64 {
	reported := c.records.store.revision
	if c.mirror.Revision() == 0 || c.records.storeEra == 0 {
		return reported
	}
	return max(reported, kv.JoinRevision(c.records.storeEra, 1))
}
