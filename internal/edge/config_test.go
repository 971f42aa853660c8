package edge

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/verbenatrail/verbenatrail/internal/decisionlog"
	"github.com/verbenatrail/verbenatrail/internal/kv"
	"github.com/verbenatrail/verbenatrail/internal/mirror"
	"github.com/verbenatrail/verbenatrail/internal/peering"
	"github.com/verbenatrail/verbenatrail/internal/routing"
)

const configRecord = "configuration"

// revisionProvider decodes a configuration whose revision is its record's value.
type revisionProvider struct{}

func (revisionProvider) Translate(entries []kv.Entry, _ time.Time) Snapshot {
	for _, e := range entries {
		if e.Key == configRecord {
			return Snapshot{Table: routing.NewTable(routing.Options{Revision: int64(e.Value[0])})}
		}
	}
	return Snapshot{}
}

func (revisionProvider) Same(a, b kv.Entry) bool { return slices.Equal(a.Value, b.Value) }

func (revisionProvider) Older(a, b kv.Entry) bool {
	return a.Key == configRecord && a.Value[0] < b.Value[0]
}

func (revisionProvider) RoutersPrefix() string { return "routers/" }

func (revisionProvider) Registration(string) (string, []byte) { return "self", nil }

func (revisionProvider) CrashRecordKey() string { return "crashes/self" }

func (revisionProvider) OriginsKey() string { return "streams" }

func newTestControl(t *testing.T) *control {
	t.Helper()
	registry := metrics.NewRegistry()
	e, err := New(Options{
		Settings: Settings{Name: "r", PeerAddress: "127.0.0.1:0"}, Provider: revisionProvider{},
		Log: decisionlog.New(io.Discard, logrus.ErrorLevel, registry), Registry: registry,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		// Closes the listener, since the context has ended.
		_ = e.link.Serve(ctx, peering.Handlers{})
	})
	return newControl(ctx, e)
}

// Lists, watch events and copies of other routers may arrive late, repeatedly and in
// any order, and a writer may store an older version. The active configuration must
// never revert to an older revision.
func TestActiveConfigurationNeverReverts(t *testing.T) {
	forRandomHistories(t, 7, configNeverReverts)
}

// forRandomHistories checks a property of a control without records over random codes,
// which determine a history of records and their arrival.
func forRandomHistories(t *testing.T, seed int64, property func(c *control, codes []uint8) bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	c := newTestControl(t)
	properties.Property("in force", prop.ForAll(func(codes []uint8) bool {
		c.mirror, c.records = mirror.New(revisionProvider{}), recordsState{}
		c.edge.table.Store(nil)
		return property(c, codes)
	}, gen.SliceOfN(60, gen.UInt8())))
	properties.TestingRun(t)
}

func configNeverReverts(c *control, codes []uint8) bool {
	now := time.Unix(1_800_000_000, 0)
	var history []kv.Entry
	highest := int64(0)
	for i, code := range codes {
		now = now.Add(10 * time.Millisecond)
		// Versions increase, except when a writer stores an older one.
		version := byte(i + 1)
		if code%7 == 0 {
			version = byte(i / 2)
		}
		if code%2 == 0 || len(history) == 0 {
			history = append(history, kv.Entry{Key: configRecord, Value: []byte{version}, ModRevision: int64(len(history) + 1)})
		}
		at := history[int(code/8)%len(history)]
		applyRecord(c, now, code, at)
		table := c.edge.table.Load()
		if table == nil {
			continue
		}
		if table.Revision < highest {
			return false
		}
		highest = table.Revision
	}
	return true
}

// applyRecord delivers a record by a list, by a watch or by another router's copy.
func applyRecord(c *control, now time.Time, code uint8, e kv.Entry) {
	switch code % 3 {
	case 0:
		storeUpdate{update: mirror.Update{Full: true, Entries: []kv.Entry{e}, Revision: e.ModRevision}}.apply(c, now)
	case 1:
		storeUpdate{update: mirror.Update{Events: []kv.Event{{Entry: e}}, Revision: e.ModRevision}}.apply(c, now)
	default:
		stateFetched{from: "other", response: deltaToProto(mirror.Delta{
			Full: true, Revision: e.ModRevision, Entries: []kv.Entry{e},
		})}.apply(c, now)
	}
}
