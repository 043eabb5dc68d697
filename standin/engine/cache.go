package engine

import (
	"container/list"

	peer "acaciacleat.example/peers/engine"
)

// cache holds prefix blocks, most recently used first. It is guarded by Engine.mu.
type cache struct {
	blocks map[uint64]*list.Element
	order  *list.List
	limit  int64
	// onChange is called for each block that is added or evicted.
	onChange func(block uint64, evicted bool)
}

// entry is a cached block. Its parent is the block before it, 0 for the first block of a prompt.
type entry struct {
	block  uint64
	parent uint64
}

func newCache(limit int64, onChange func(uint64, bool)) *cache {
	return &cache{blocks: map[uint64]*list.Element{}, order: list.New(), limit: limit, onChange: onChange}
}

func (c *cache) tokens() int64 { return int64(c.order.Len()) * peer.BlockTokens }

// hit returns how many blocks of the prefix are cached and marks them as used.
func (c *cache) hit(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] != nil {
		n++
	}
	c.use(blocks[:n])
	return n
}

// use marks blocks as used, the first one as the most recent: a block is useless without the blocks
// before it, so the last one is evicted first.
func (c *cache) use(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element := c.blocks[blocks[i]]; element != nil {
			c.order.MoveToFront(element)
		}
	}
}

// add caches the block at index i of a prompt's blocks.
func (c *cache) add(blocks []uint64, i int) {
	parent := uint64(0)
	if i > 0 {
		parent = blocks[i-1]
	}
	c.put(entry{block: blocks[i], parent: parent})
}

func (c *cache) put(e entry) {
	if c.limit < peer.BlockTokens {
		return
	}
	if element := c.blocks[e.block]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[e.block] = c.order.PushFront(e)
	c.onChange(e.block, false)
	c.evict()
}

// setLimit sets the limit in tokens and evicts the blocks beyond it.
func (c *cache) setLimit(limit int64) {
	c.limit = limit
	c.evict()
}

func (c *cache) evict() {
	for c.order.Len() > 0 && c.tokens() > c.limit {
		last := c.order.Back()
		block := last.Value.(entry).block
		c.order.Remove(last)
		delete(c.blocks, block)
		c.onChange(block, true)
	}
}

func (c *cache) clear() {
	limit := c.limit
	c.setLimit(0)
	c.limit = limit
}

// chain returns the entries from a prompt's first block to block; ok is false if one of them is not
// cached.
func (c *cache) chain(block uint64) (entries []entry, ok bool) {
	for block != 0 {
		element := c.blocks[block]
		if element == nil {
			return nil, false
		}
		e := element.Value.(entry)
		entries = append(entries, e)
		block = e.parent
	}
	for i, j := 0, len(entries)-1; i < j; i, j = i+1, j-1 {
		entries[i], entries[j] = entries[j], entries[i]
	}
	return entries, len(entries) > 0
}
