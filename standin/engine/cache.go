package engine

import (
	"container/list"

	peer "acaciacleat.example/peers/engine"
)

// cache holds prefix blocks, least recently used last. It is guarded by Engine.mu.
type cache struct {
	blocks map[uint64]*list.Element
	order  *list.List
	room   int64
	// changed hears of each block that comes or goes.
	changed func(block uint64, evicted bool)
}

// entry is a cached block; parent is the block before it, 0 for the first of a prompt.
type entry struct {
	block  uint64
	parent uint64
}

func newCache(room int64, changed func(uint64, bool)) *cache {
	return &cache{blocks: map[uint64]*list.Element{}, order: list.New(), room: room, changed: changed}
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

// use marks blocks as used, the first block as the latest: a later block is of no use
// without those before it, so it is the first to go.
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
	if c.room < peer.BlockTokens {
		return
	}
	if element := c.blocks[e.block]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[e.block] = c.order.PushFront(e)
	c.changed(e.block, false)
	c.evict()
}

// shrink sets the room in tokens and evicts what no longer fits.
func (c *cache) shrink(room int64) {
	c.room = room
	c.evict()
}

func (c *cache) evict() {
	for c.order.Len() > 0 && c.tokens() > c.room {
		last := c.order.Back()
		block := last.Value.(entry).block
		c.order.Remove(last)
		delete(c.blocks, block)
		c.changed(block, true)
	}
}

func (c *cache) clear() {
	room := c.room
	c.shrink(0)
	c.room = room
}

// chain returns the entries from a prompt's first block to block; ok is false when one of
// them is not cached.
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
