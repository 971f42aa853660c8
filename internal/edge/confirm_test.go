package edge

import (
	"testing"
	"time"

	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/peerpb"
)

var confirmStart = time.Unix(1_800_000_000, 0)

// heardFrom is a digest of a router whose copy has changed at a revision, and was
// confirmed at another some time ago.
func heardFrom(changed, revision int64, age time.Duration) peering.Received {
	return peering.Received{
		Router: peering.Router{Name: "other", ChangedRevision: changed, StateRevision: revision},
		Digest: &peerpb.Digest{ConfirmedAgeMs: uint32(min(age, unknownAge).Milliseconds())},
	}
}

// controlAt returns a control whose copy is complete up to a revision.
func controlAt(t *testing.T, revision int64) *control {
	t.Helper()
	c := newTestControl(t)
	c.mirror = mirror.New(revisionProvider{}.Same)
	if revision > 0 {
		c.mirror.Replace([]kv.Entry{{Key: "k", ModRevision: 1}}, revision)
	}
	return c
}

func TestConfirmationsOfOthers(t *testing.T) {
	for _, tc := range []struct {
		name      string
		revision  int64
		heard     peering.Received
		confirmed bool
		after     int64
	}{
		{"the same copy", 10, heardFrom(8, 10, 0), true, 10},
		{"a later one without a change", 10, heardFrom(8, 25, 0), true, 25},
		{"a change that this copy lacks", 10, heardFrom(20, 25, 0), false, 10},
		{"never confirmed", 10, heardFrom(8, 10, unknownAge), false, 10},
		{"no copy here", 0, heardFrom(0, 0, 0), false, 0},
		{"no copy here, one there", 0, heardFrom(5, 5, 0), false, 0},
	} {
		c := controlAt(t, tc.revision)
		c.hearConfirmation(confirmStart, tc.heard)
		if c.records.freshness.EverConfirmed() != tc.confirmed || c.mirror.Revision() != tc.after {
			t.Errorf("%s: confirmed %v, revision %d", tc.name, c.records.freshness.EverConfirmed(), c.mirror.Revision())
		}
	}
}

// The store's answer confirms a copy once the copy has come to its revision, also
// when instances write all the time.
func TestTheStoresAnswerConfirmsALaterCopy(t *testing.T) {
	c := controlAt(t, 10)
	storeConfirmed{revision: 12, asked: confirmStart}.apply(c, confirmStart)
	if c.records.freshness.EverConfirmed() {
		t.Error("a copy that is behind the store is confirmed")
	}
	later := confirmStart.Add(100 * time.Millisecond)
	storeUpdate{update: mirror.Update{Revision: 15}}.apply(c, later)
	if age := c.records.freshness.Age(later); !c.records.freshness.EverConfirmed() || age != 100*time.Millisecond {
		t.Errorf("the copy was confirmed %v ago", age)
	}
}
