package engine

import (
	"container/list"

	"github.com/verbenatrail/verbenatrail/internal/engineapi"
)

// Kinds of cache event.
const (
	eventStored  = "stored"
	eventRemoved = "removed"
)

// cacheNode is the cached state of one message after its prefix.
type cacheNode struct {
	Hash uint64 `json:"hash,string"`
	// Tokens are those of the last message; the prefix before it is a node of
	// its own.
	Tokens int `json:"tokens"`
	// Total are the tokens of the whole message list.
	Total  int `json:"total"`
	parent *cacheNode
	place  *list.Element
}

// prefixCache holds prefixes of message lists in a limited number of tokens.
// The least recently used prefix that no other extends goes first. It is not
// safe for concurrent use.
type prefixCache struct {
	limit   int
	used    int
	nodes   map[uint64]*cacheNode
	recent  *list.List
	publish func(kind string, node *cacheNode)
}

// newPrefixCache returns an empty cache; publish is called for each change.
func newPrefixCache(limit int, publish func(kind string, node *cacheNode)) *prefixCache {
	return &prefixCache{
		limit: limit, nodes: make(map[uint64]*cacheNode), recent: list.New(), publish: publish,
	}
}

// lookup returns the number of tokens of the longest cached prefix, and marks
// it as used.
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

// store caches all prefixes of a message list.
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

// add returns the node with a hash and makes it when it is missing.
func (c *prefixCache) add(parent *cacheNode, hash uint64, tokens int) *cacheNode {
	if node := c.nodes[hash]; node != nil {
		return node
	}
	node := &cacheNode{Hash: hash, Tokens: tokens, Total: tokens, parent: parent}
	if parent != nil {
		node.Total += parent.Total
	}
	node.place = c.recent.PushFront(node)
	c.nodes[hash] = node
	c.used += tokens
	c.publish(eventStored, node)
	return node
}

// touch marks a node and then each of its prefixes as most recently used, so
// that a prefix is always more recent than its extensions.
func (c *prefixCache) touch(node *cacheNode) {
	for ; node != nil; node = node.parent {
		c.recent.MoveToFront(node.place)
	}
}

func (c *prefixCache) evict() {
	for c.used > c.limit {
		oldest := c.recent.Back()
		node := oldest.Value.(*cacheNode)
		c.recent.Remove(oldest)
		delete(c.nodes, node.Hash)
		c.used -= node.Tokens
		c.publish(eventRemoved, node)
	}
}

// export returns the nodes of a cached prefix, shortest first, or nil.
func (c *prefixCache) export(hash uint64) []cacheNode {
	var nodes []cacheNode
	for node := c.nodes[hash]; node != nil; node = node.parent {
		nodes = append([]cacheNode{*node}, nodes...)
	}
	return nodes
}

// restore adds the nodes of an exported prefix.
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

// clear removes everything.
func (c *prefixCache) clear() {
	limit := c.limit
	c.limit = 0
	c.evict()
	c.limit = limit
}
