package placement

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entryLifetime is how long a part is expected to stay in an engine's cache after
// its last use; engines evict the least recently used parts.
const entryLifetime = 40 * time.Second

// maxPartsPerEngine is the maximum number of parts indexed for one engine.
const maxPartsPerEngine = 512

// PrefixIndex tracks which parts of prompts are expected in the prefix caches of
// engines. It is not safe for concurrent use.
type PrefixIndex struct {
	engines map[string]*engineParts
}

// engineParts holds the parts of one engine, the most recently used first.
type engineParts struct {
	order  *list.List
	byHash map[uint64]*list.Element
}

type cachedPart struct {
	hash uint64
	used time.Time
}

// NewPrefixIndex returns an empty PrefixIndex.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{engines: make(map[string]*engineParts)} }

// PartHash returns the hash that identifies a part between routers.
func PartHash(model, part string) uint64 { return xxhash.Sum64String(model + "\x00" + part) }

// PartHashes returns the hashes of a prompt's parts.
func PartHashes(model string, parts []PromptPart) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, part := range parts {
		out = append(out, PartHash(model, part.ID))
	}
	return out
}

// Add records that an engine has processed parts. It reports whether any part is
// new or was last used more than a quarter of entryLifetime ago.
func (x *PrefixIndex) Add(now time.Time, engine string, parts []uint64) bool {
	indexed := x.engines[engine]
	if indexed == nil {
		indexed = &engineParts{order: list.New(), byHash: make(map[uint64]*list.Element)}
		x.engines[engine] = indexed
	}
	isNew := false
	for i := len(parts) - 1; i >= 0; i-- {
		isNew = indexed.add(now, parts[i]) || isNew
	}
	return isNew
}

func (p *engineParts) add(now time.Time, hash uint64) (isNew bool) {
	if element, ok := p.byHash[hash]; ok {
		part := element.Value.(*cachedPart)
		isNew = now.Sub(part.used) > entryLifetime/4
		part.used = now
		p.order.MoveToFront(element)
		return isNew
	}
	p.byHash[hash] = p.order.PushFront(&cachedPart{hash: hash, used: now})
	if p.order.Len() > maxPartsPerEngine {
		oldest := p.order.Back()
		delete(p.byHash, oldest.Value.(*cachedPart).hash)
		p.order.Remove(oldest)
	}
	return true
}

// Remove removes parts of an engine.
func (x *PrefixIndex) Remove(engine string, parts []uint64) {
	indexed := x.engines[engine]
	if indexed == nil {
		return
	}
	for _, part := range parts {
		if element, ok := indexed.byHash[part]; ok {
			indexed.order.Remove(element)
			delete(indexed.byHash, part)
		}
	}
}

// RemoveEngine removes all parts of an engine, which has lost its cache.
func (x *PrefixIndex) RemoveEngine(engine string) { delete(x.engines, engine) }

// Each calls visit for each part that is expected in an engine's cache.
func (x *PrefixIndex) Each(now time.Time, visit func(engine string, part uint64)) {
	for engine, indexed := range x.engines {
		for element := indexed.order.Front(); element != nil; element = element.Next() {
			part := element.Value.(*cachedPart)
			if now.Sub(part.used) > entryLifetime {
				break
			}
			visit(engine, part.hash)
		}
	}
}

// CachedParts returns how many leading parts of a prompt are expected in an
// engine's cache.
func (x *PrefixIndex) CachedParts(now time.Time, engine string, parts []uint64) int {
	indexed := x.engines[engine]
	if indexed == nil {
		return 0
	}
	for i, part := range parts {
		element, ok := indexed.byHash[part]
		if !ok || now.Sub(element.Value.(*cachedPart).used) > entryLifetime {
			return i
		}
	}
	return len(parts)
}
