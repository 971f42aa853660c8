package claims

import (
	"maps"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/ledger"
)

// slotModel executes the effects of one ledger in virtual time on a map of
// encoded segments.
type slotModel struct {
	t        testing.TB
	now      time.Time
	ledger   *ledger.Ledger
	segments map[uint64][]byte
	head     int64
	appends  int
	written  int
	largest  int
	answered int
	sent     int
	rng      *rand.Rand
	// gap is the mean time between two actions of the slot.
	gap time.Duration
}

func (m *slotModel) step(event ledger.Event) {
	pending := []ledger.Event{event}
	for len(pending) > 0 {
		effects := m.ledger.Step(m.now, pending[0])
		pending = pending[1:]
		for _, effect := range effects {
			if reply := m.execute(effect); reply != nil {
				pending = append(pending, reply)
			}
		}
	}
}

func (m *slotModel) execute(effect ledger.Effect) ledger.Event {
	switch e := effect.(type) {
	case ledger.Load:
		return ledger.Loaded{Nonce: 1}
	case ledger.Append:
		return m.append(e)
	case ledger.CheckHead:
		return ledger.HeadChecked{Revision: m.head}
	case ledger.Dispatch:
		return ledger.Finished{Key: e.Key, Result: Result{Status: 200}}
	case ledger.Reply:
		if e.Refusal == nil {
			m.answered++
		}
	}
	return nil
}

func (m *slotModel) append(a ledger.Append) ledger.Event {
	value, err := encodeSegment(a.Segment)
	if err != nil {
		m.t.Fatal(err)
	}
	m.segments[a.Number] = value
	for _, number := range a.Remove {
		delete(m.segments, number)
	}
	m.head++
	m.appends++
	m.written += len(value)
	m.largest = max(m.largest, len(value))
	return ledger.Committed{Number: a.Number, Revision: m.head}
}

func (m *slotModel) stored() int {
	sum := 0
	for _, value := range m.segments {
		sum += len(value)
	}
	return sum
}

const (
	targetActionsPerSecond = 310
	valueLimit             = 1 << 20
)

// newSlotModel returns a slot that receives its share of the actions of a fleet
// of the target size.
func newSlotModel(t testing.TB, s Settings) *slotModel {
	return &slotModel{
		t: t, now: time.Unix(1_800_000_000, 0), segments: map[uint64][]byte{},
		ledger: ledger.New(s.ledgerConfig("daemon-1")), rng: rand.New(rand.NewSource(1)),
		gap: time.Second * time.Duration(s.Slots) / targetActionsPerSecond,
	}
}

// run sends actions for a duration of virtual time and returns their number.
func (m *slotModel) run(length time.Duration) int {
	end := m.now.Add(length)
	before := m.sent
	for next := m.now; m.now.Before(end); {
		if wake := m.ledger.NextTick(); !wake.IsZero() && wake.Before(next) {
			m.now = wake
			m.step(ledger.Tick{})
			continue
		}
		m.now = next
		m.sent++
		m.step(ledger.Arrived{Request: ledger.RequestID(m.sent), Key: keyAt(m.rng, m.now)})
		next = next.Add(time.Duration(m.rng.ExpFloat64() * float64(m.gap)))
	}
	return m.sent - before
}

// Guards against unbounded growth of a slot's journal and memory: at 310 actions
// per second in the fleet, they must stay bounded after three retentions, and
// each value must stay below the size limit of the key-value service.
func TestStateOfOneSlotAtTheTargetSize(t *testing.T) {
	settings := DefaultSettings()
	m := newSlotModel(t, settings)
	sent := m.run(3 * settings.Retention.Std())
	stats := m.ledger.Stats()
	t.Logf("actions=%d answered=%d remembered=%d segments=%d stored_bytes=%d largest_value=%d appends=%d written_bytes_per_action=%d",
		sent, m.answered, stats.Actions, len(m.segments), m.stored(), m.largest, m.appends, m.written/sent)
	if m.largest >= valueLimit || len(m.segments) > 1000 || stats.Actions > settings.MaxActions*9/10 {
		t.Errorf("state grows: %+v, %d segments, largest value %d", stats, len(m.segments), m.largest)
	}
	if sent-m.answered > sent/100 {
		t.Errorf("%d of %d actions were answered", m.answered, sent)
	}
}

func keyAt(rng *rand.Rand, at time.Time) uuid.UUID {
	var key uuid.UUID
	rng.Read(key[:])
	ms := at.UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (40 - 8*i))
	}
	key[6] = key[6]&0x0f | 0x70
	key[8] = key[8]&0x3f | 0x80
	return key
}

// BenchmarkActionAtTargetSize measures the CPU time that the ledger and the
// encoding take for one action, and the heap memory per remembered action.
func BenchmarkActionAtTargetSize(b *testing.B) {
	settings := DefaultSettings()
	m := newSlotModel(b, settings)
	before := heapBytes()
	m.run(settings.Retention.Std())
	memory := float64(heapBytes()-before-int64(m.stored())) / float64(m.ledger.Stats().Actions)
	b.ResetTimer()
	for done := 0; done < b.N; {
		done += m.run(time.Second)
	}
	b.ReportMetric(memory, "heap-B/action")
}

// BenchmarkTakeOverAtTargetSize measures the decoding and replay of a slot's
// journal after one retention.
func BenchmarkTakeOverAtTargetSize(b *testing.B) {
	settings := DefaultSettings()
	m := newSlotModel(b, settings)
	m.run(settings.Retention.Std())
	numbers := slices.Sorted(maps.Keys(m.segments))
	b.ResetTimer()
	for range b.N {
		loaded := ledger.Loaded{Nonce: 2, Head: m.head}
		for _, number := range numbers {
			segment, err := decodeSegment(m.segments[number])
			if err != nil {
				b.Fatal(err)
			}
			loaded.Segments = append(loaded.Segments, ledger.NumberedSegment{Number: number, Segment: segment})
		}
		l := ledger.New(settings.ledgerConfig("daemon-2"))
		l.Step(m.now, ledger.Arrived{Request: 1, Key: keyAt(m.rng, m.now)})
		l.Step(m.now, loaded)
	}
	b.ReportMetric(float64(m.stored()), "journal-B")
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
