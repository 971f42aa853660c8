package ledger

import "github.com/google/uuid"

// resultStore bounds the memory of recorded answers; the oldest lose their
// headers and body first.
type resultStore struct {
	limit int
	bytes int
	kept  []keptResult
}

type keptResult struct {
	key   uuid.UUID
	entry *entry
}

func (s *resultStore) keep(key uuid.UUID, e *entry) {
	if e.result.size() == 0 {
		return
	}
	s.bytes += e.result.size()
	s.kept = append(s.kept, keptResult{key: key, entry: e})
	for s.bytes > s.limit {
		oldest := s.kept[0].entry
		s.kept = s.kept[1:]
		s.bytes -= oldest.result.size()
		oldest.result = Result{Status: oldest.result.Status, BodyOmitted: true}
	}
}

// expire forgets the answers of keys issued before the horizon.
func (s *resultStore) expire(horizon int64) {
	left := s.kept[:0]
	for _, k := range s.kept {
		if IssuedAt(k.key) < horizon {
			s.bytes -= k.entry.result.size()
			continue
		}
		left = append(left, k)
	}
	s.kept = left
}

func (s *resultStore) reset() { *s = resultStore{limit: s.limit} }
