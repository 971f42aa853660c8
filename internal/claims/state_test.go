package claims

import (
	"math/rand"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/verbenatrail/verbenatrail/internal/ledger"
)

// slotModel carries out the effects of one ledger in virtual time against a
// map of encoded segments.
type slotModel struct {
	t        *testing.T
	now      time.Time
	ledger   *ledger.Ledger
	segments map[uint64]int
	head     int64
	appends  int
	written  int
	largest  int
	answered int
}

func (m *slotModel) step(event ledger.Event) {
	pending := []ledger.Event{event}
	for len(pending) > 0 {
		effects := m.ledger.Step(m.now, pending[0])
		pending = pending[1:]
		for _, effect := range effects {
			if reply := m.carryOut(effect); reply != nil {
				pending = append(pending, reply)
			}
		}
	}
}

func (m *slotModel) carryOut(effect ledger.Effect) ledger.Event {
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
	m.segments[a.Number] = len(value)
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
	for _, size := range m.segments {
		sum += size
	}
	return sum
}

// The journal of one slot at 310 actions a second in the fleet stays bounded
// after several retentions, and its values stay below the service's limit.
func TestStateOfOneSlotAtTheTargetSize(t *testing.T) {
	const actionsPerSecond = 310
	const valueLimit = 1 << 20
	settings := DefaultSettings()
	mean := time.Second * time.Duration(settings.Slots) / actionsPerSecond
	rng := rand.New(rand.NewSource(1))
	m := &slotModel{
		t: t, now: time.Unix(1_800_000_000, 0), segments: map[uint64]int{},
		ledger: ledger.New(settings.ledgerConfig("daemon-1")),
	}
	end := m.now.Add(3 * settings.Retention.Std())
	next := m.now
	sent := 0
	for m.now.Before(end) {
		if wake := m.ledger.Wake(); !wake.IsZero() && wake.Before(next) {
			m.now = wake
			m.step(ledger.Tick{})
			continue
		}
		m.now = next
		sent++
		m.step(ledger.Arrived{Request: ledger.RequestID(sent), Key: keyAt(rng, m.now)})
		next = next.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
	}
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
