package placement

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// holdLifetime is how long a part is expected in an engine's cache after its
// last use; engines evict the least recently used.
const holdLifetime = 40 * time.Second

// maxHeld bounds the parts that are remembered for one engine.
const maxHeld = 512

// PrefixIndex remembers which parts of prompts engines are thought to hold. It
// isn't safe for concurrent use.
type PrefixIndex struct {
	engines map[string]*heldParts
}

// heldParts are the parts of one engine, the latest used first.
type heldParts struct {
	order  *list.List
	byHash map[uint64]*list.Element
}

type heldPart struct {
	hash uint64
	used time.Time
}

// NewPrefixIndex returns Holdings that know nothing.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{engines: make(map[string]*heldParts)} }

// PartHash is the short name of a part between routers.
func PartHash(model, part string) uint64 { return xxhash.Sum64String(model + "\x00" + part) }

// PartHashes returns the hashes of a prompt's parts.
func PartHashes(model string, parts []PromptPart) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, part := range parts {
		out = append(out, PartHash(model, part.ID))
	}
	return out
}

// Add records that an engine has read parts. It reports whether any was new.
func (h *PrefixIndex) Add(now time.Time, engine string, parts []uint64) bool {
	held := h.engines[engine]
	if held == nil {
		held = &heldParts{order: list.New(), byHash: make(map[uint64]*list.Element)}
		h.engines[engine] = held
	}
	isNew := false
	for i := len(parts) - 1; i >= 0; i-- {
		isNew = held.note(now, parts[i]) || isNew
	}
	return isNew
}

func (p *heldParts) note(now time.Time, hash uint64) (isNew bool) {
	if element, ok := p.byHash[hash]; ok {
		part := element.Value.(*heldPart)
		isNew = now.Sub(part.used) > holdLifetime/4
		part.used = now
		p.order.MoveToFront(element)
		return isNew
	}
	p.byHash[hash] = p.order.PushFront(&heldPart{hash: hash, used: now})
	if p.order.Len() > maxHeld {
		oldest := p.order.Back()
		delete(p.byHash, oldest.Value.(*heldPart).hash)
		p.order.Remove(oldest)
	}
	return true
}

// Remove takes back that an engine holds parts.
func (h *PrefixIndex) Remove(engine string, parts []uint64) {
	held := h.engines[engine]
	if held == nil {
		return
	}
	for _, part := range parts {
		if element, ok := held.byHash[part]; ok {
			held.order.Remove(element)
			delete(held.byHash, part)
		}
	}
}

// RemoveEngine drops an engine that lost its cache.
func (h *PrefixIndex) RemoveEngine(engine string) { delete(h.engines, engine) }

// Each calls visit for each part that an engine is thought to hold.
func (h *PrefixIndex) Each(now time.Time, visit func(engine string, part uint64)) {
	for engine, held := range h.engines {
		for element := held.order.Front(); element != nil; element = element.Next() {
			part := element.Value.(*heldPart)
			if now.Sub(part.used) > holdLifetime {
				break
			}
			visit(engine, part.hash)
		}
	}
}

// CachedParts returns how many of the leading parts an engine holds.
func (h *PrefixIndex) CachedParts(now time.Time, engine string, parts []uint64) int {
	held := h.engines[engine]
	if held == nil {
		return 0
	}
	for depth, part := range parts {
		element, ok := held.byHash[part]
		if !ok || now.Sub(element.Value.(*heldPart).used) > holdLifetime {
			return depth
		}
	}
	return len(parts)
}
