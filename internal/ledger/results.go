package ledger

import "github.com/google/uuid"

// resultStore limits the memory used by recorded answers. Above the limit, the
// oldest answers lose their headers and body.
type resultStore struct {
	limit int
	bytes int
	kept  []keptResult
}

type keptResult struct {
	key   uuid.UUID
	entry *entry
}

func (s *resultStore) add(key uuid.UUID, e *entry) {
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

// expire removes the answers for keys issued before the horizon.
func (s *resultStore) expire(horizon int64) {
	kept := s.kept[:0]
	for _, k := range s.kept {
		if IssuedAt(k.key) < horizon {
			s.bytes -= k.entry.result.size()
			continue
		}
		kept = append(kept, k)
	}
	s.kept = kept
}

func (s *resultStore) reset() { *s = resultStore{limit: s.limit} }
