package retry

import (
	"container/list"
	"time"
)

// budget is a token bucket of retries.
type budget struct {
	key     Key
	tokens  float64
	burst   float64
	updated time.Time
}

func (b *budget) add(tokens float64) { b.tokens = min(b.tokens+tokens, b.burst) }

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// budgets is a bounded LRU cache of budgets. The order list has the most recently
// used one at its front.
type budgets struct {
	settings Settings
	order    *list.List
	byKey    map[Key]*list.Element
}

func newBudgets(s Settings) budgets {
	return budgets{settings: s, order: list.New(), byKey: make(map[Key]*list.Element)}
}

// get returns the budget of a key after adding the tokens accrued since its last
// use. A new budget is full.
func (b *budgets) get(now time.Time, key Key) *budget {
	element, ok := b.byKey[key]
	if !ok {
		element = b.create(now, key)
	}
	b.order.MoveToFront(element)
	found := element.Value.(*budget)
	if elapsed := now.Sub(found.updated); elapsed > 0 {
		found.add(elapsed.Seconds() * b.settings.TokensPerSecond)
		found.updated = now
	}
	return found
}

func (b *budgets) create(now time.Time, key Key) *list.Element {
	if b.order.Len() >= b.settings.MaxBudgets {
		oldest := b.order.Back()
		delete(b.byKey, oldest.Value.(*budget).key)
		b.order.Remove(oldest)
	}
	burst := b.settings.Burst
	element := b.order.PushFront(&budget{key: key, tokens: burst, burst: burst, updated: now})
	b.byKey[key] = element
	return element
}
