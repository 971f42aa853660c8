package overload

import (
	"testing"
	"time"
)

// An instance whose responses begin late gets fewer calls, one decrease for those in flight.
func TestConcurrencyFallsWhenResponsesBeginLate(t *testing.T) {
	const slots, objective = 64, time.Second
	c := &Concurrency{}
	for i := range 10 {
		c.RecordFirstByte(start.Add(time.Duration(i)*time.Millisecond), objective, objective, 40, slots)
	}
	if got := c.Limit(slots); got != 32 {
		t.Errorf("limit %d after late responses at a load of 40, want 32", got)
	}
	for i := range 100 {
		c.RecordFirstByte(start.Add(time.Duration(i)*time.Second), 0, objective, 40, slots)
	}
	if got := c.Limit(slots); got != minConcurrency {
		t.Errorf("limit %d, want the lowest one", got)
	}
}

// The limit grows again only while it is in use, and not beyond the slots.
func TestConcurrencyGrowsWhileInUse(t *testing.T) {
	const slots, objective = 8, time.Second
	c := &Concurrency{}
	c.RecordFirstByte(start, objective, objective, 5, slots)
	for range 100 {
		c.RecordFirstByte(start.Add(time.Minute), objective/10, objective, 1, slots)
	}
	if got := c.Limit(slots); got != 4 {
		t.Errorf("limit %d without use, want 4", got)
	}
	for range 100 {
		c.RecordFirstByte(start.Add(time.Minute), objective/10, objective, 8, slots)
	}
	if got := c.Limit(slots); got != slots {
		t.Errorf("limit %d in use, want %d", got, slots)
	}
}

// Without slots, objectives or samples nothing is limited.
func TestUnknownConcurrency(t *testing.T) {
	var none *Concurrency
	c := &Concurrency{}
	c.RecordFirstByte(start, time.Hour, 0, 5, 8)
	c.RecordFirstByte(start, time.Hour, time.Second, 5, 0)
	if none.Limit(8) != 8 || c.Limit(8) != 8 {
		t.Errorf("limits %d and %d, want 8", none.Limit(8), c.Limit(8))
	}
}
