package engine

import (
	"container/list"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

// Kinds of cache events.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
)

// cacheNode is the cached state of one message that follows a cached prefix.
type cacheNode struct {
	Hash uint64 `json:"hash,string"`
	// Tokens counts the last message only; the prefix before it has its own
	// node.
	Tokens int `json:"tokens"`
	// Total counts the last message and all messages before it.
	Total   int `json:"total"`
	parent  *cacheNode
	element *list.Element
}

// prefixCache caches prefixes of message lists up to a limit in tokens. It
// evicts the least recently used prefix that no cached prefix extends. It is
// not safe for concurrent use.
type prefixCache struct {
	limit   int
	used    int
	nodes   map[uint64]*cacheNode
	lru     *list.List
	publish func(kind string, node *cacheNode)
}

// newPrefixCache returns an empty cache that calls publish for each stored or
// removed node.
func newPrefixCache(limit int, publish func(kind string, node *cacheNode)) *prefixCache {
	return &prefixCache{
		limit: limit, nodes: make(map[uint64]*cacheNode), lru: list.New(), publish: publish,
	}
}

// lookup returns the number of tokens in the longest cached prefix, and marks
// that prefix as recently used.
func (c *prefixCache) lookup(messages []engineapi.Message) int {
	var longest *cacheNode
	for n := 1; n <= len(messages); n++ {
		node := c.nodes[engineapi.PrefixHash(messages[:n])]
		if node == nil {
			break
		}
		longest = node
	}
	if longest == nil {
		return 0
	}
	c.touch(longest)
	return longest.Total
}

// store caches all prefixes of a message list, and evicts down to the limit.
func (c *prefixCache) store(messages []engineapi.Message) {
	var parent *cacheNode
	for n := 1; n <= len(messages); n++ {
		hash := engineapi.PrefixHash(messages[:n])
		parent = c.add(parent, hash, countTokens(messages[n-1].Content))
	}
	if parent != nil {
		c.touch(parent)
	}
	c.evict()
}

// add returns the node with the given hash, creating it if it is missing.
func (c *prefixCache) add(parent *cacheNode, hash uint64, tokens int) *cacheNode {
	if node := c.nodes[hash]; node != nil {
		return node
	}
	node := &cacheNode{Hash: hash, Tokens: tokens, Total: tokens, parent: parent}
	if parent != nil {
		node.Total += parent.Total
	}
	node.element = c.lru.PushFront(node)
	c.nodes[hash] = node
	c.used += tokens
	c.publish(eventStored, node)
	return node
}

// touch moves a node and then each of its prefixes to the front of the LRU
// list, so that a prefix is always more recent than its extensions and is
// evicted after them.
func (c *prefixCache) touch(node *cacheNode) {
	for ; node != nil; node = node.parent {
		c.lru.MoveToFront(node.element)
	}
}

func (c *prefixCache) evict() {
	for c.used > c.limit {
		oldest := c.lru.Back()
		node := oldest.Value.(*cacheNode)
		c.lru.Remove(oldest)
		delete(c.nodes, node.Hash)
		c.used -= node.Tokens
		c.publish(eventRemoved, node)
	}
}

// export returns the nodes of a cached prefix, shortest first, or nil when the
// prefix is not cached.
func (c *prefixCache) export(hash uint64) []cacheNode {
	var nodes []cacheNode
	for node := c.nodes[hash]; node != nil; node = node.parent {
		nodes = append([]cacheNode{*node}, nodes...)
	}
	return nodes
}

// restore adds the nodes of an exported prefix, and evicts down to the limit.
func (c *prefixCache) restore(nodes []cacheNode) {
	var parent *cacheNode
	for _, n := range nodes {
		parent = c.add(parent, n.Hash, n.Tokens)
	}
	if parent != nil {
		c.touch(parent)
	}
	c.evict()
}

// clear evicts all nodes, and publishes an event for each.
func (c *prefixCache) clear() {
	limit := c.limit
	c.limit = 0
	c.evict()
	c.limit = limit
}
