package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// queue holds, in order, the records that are not part of an append yet.
type queue struct {
	records []Record
	claims  int
	// since is when the oldest record was added, or when records were last
	// taken.
	since time.Time
}

func (q *queue) empty() bool { return len(q.records) == 0 }

func (q *queue) add(now time.Time, r Record) {
	if q.empty() {
		q.since = now
	}
	q.records = append(q.records, r)
	if r.Kind == RecordClaim {
		q.claims++
	}
}

// take removes records from the front, up to limit bytes but at least one if
// there is any.
func (q *queue) take(now time.Time, limit int) []Record {
	var taken []Record
	size := 0
	for _, r := range q.records {
		size += r.size()
		if len(taken) > 0 && size > limit {
			break
		}
		taken = append(taken, r)
		if r.Kind == RecordClaim {
			q.claims--
		}
	}
	q.records = append([]Record(nil), q.records[len(taken):]...)
	q.since = now
	return taken
}

// putBack returns records to the front.
func (q *queue) putBack(records []Record) {
	for _, r := range records {
		if r.Kind == RecordClaim {
			q.claims++
		}
	}
	q.records = append(append([]Record(nil), records...), q.records...)
}

// dropClaim removes the newest claim of a key.
func (q *queue) dropClaim(key uuid.UUID) {
	for i := len(q.records) - 1; i >= 0; i-- {
		if q.records[i].Key == key && q.records[i].Kind == RecordClaim {
			q.records = append(q.records[:i:i], q.records[i+1:]...)
			q.claims--
			return
		}
	}
}

func (q *queue) has(key uuid.UUID) bool {
	return slices.ContainsFunc(q.records, func(r Record) bool { return r.Key == key })
}
