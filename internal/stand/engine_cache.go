package stand

import (
	"container/list"

	"dandelionsail.example/dandelionsail/internal/body"
)

// blockTokens is the number of prompt tokens in a block.
const blockTokens = body.BlockTokens

// block is a cached block of prompt tokens.
type block struct {
	hash uint64
	// pins counts the requests that use the block. At 0 it can be evicted.
	pins int
	// idleElement is the block's element in the list of idle blocks, nil while it is pinned.
	idleElement *list.Element
}

// prefixCache holds computed blocks, keyed by the chained hash of the prompt up to the end of the block. Unpinned blocks
// are evicted, the least recently used first.
type prefixCache struct {
	blocks map[uint64]*block
	// idle lists the blocks without pins. The front one is evicted next.
	idle *list.List
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: map[uint64]*block{}, idle: list.New()}
}

// match returns the number of leading blocks that are cached.
func (pc *prefixCache) match(prefixes []uint64) int {
	for i, hash := range prefixes {
		if pc.blocks[hash] == nil {
			return i
		}
	}
	return len(prefixes)
}

// add adds the block without pins unless it is cached already, and reports whether it was new.
func (pc *prefixCache) add(hash uint64) bool {
	if pc.blocks[hash] != nil {
		return false
	}
	bk := &block{hash: hash}
	bk.idleElement = pc.idle.PushBack(bk)
	pc.blocks[hash] = bk
	return true
}

// pin pins the blocks, which must be cached.
func (pc *prefixCache) pin(prefixes []uint64) {
	for _, hash := range prefixes {
		bk := pc.blocks[hash]
		bk.pins++
		if bk.idleElement != nil {
			pc.idle.Remove(bk.idleElement)
			bk.idleElement = nil
		}
	}
}

// unpin unpins the blocks from the last to the first, so that the end of a prompt is evicted before its beginning, which
// other prompts may share.
func (pc *prefixCache) unpin(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		bk := pc.blocks[prefixes[i]]
		bk.pins--
		if bk.pins == 0 {
			bk.idleElement = pc.idle.PushBack(bk)
		}
	}
}

func (pc *prefixCache) pinnedTokens() int64 {
	return int64(len(pc.blocks)-pc.idle.Len()) * blockTokens
}

// evict removes idle blocks until the remaining ones take up at most the given tokens. It returns the hashes of the removed
// blocks.
func (pc *prefixCache) evict(tokens int64) []uint64 {
	var evicted []uint64
	for int64(pc.idle.Len())*blockTokens > tokens {
		bk := pc.idle.Remove(pc.idle.Front()).(*block)
		delete(pc.blocks, bk.hash)
		evicted = append(evicted, bk.hash)
	}
	return evicted
}
