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

// budgets is a bounded set of budgets, least recently used last.
type budgets struct {
	settings Settings
	order    *list.List
	byKey    map[Key]*list.Element
}

func newBudgets(s Settings) budgets {
	return budgets{settings: s, order: list.New(), byKey: make(map[Key]*list.Element)}
}

// at returns the budget of a key, filled up to now.
func (b *budgets) at(now time.Time, key Key) *budget {
	element, ok := b.byKey[key]
	if !ok {
		element = b.create(now, key)
	}
	b.order.MoveToFront(element)
	found := element.Value.(*budget)
	if passed := now.Sub(found.updated); passed > 0 {
		found.add(passed.Seconds() * b.settings.TokensPerSecond)
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
