package stand

import (
	"container/list"

	"dandelionsail.example/dandelionsail/internal/body"
)

const blockTokens = body.BlockTokens

// block is one cached run of prompt tokens.
type block struct {
	hash uint64
	// pins counts the requests that hold it; it can be evicted at 0.
	pins int
	// place is its place among the blocks that nobody holds, nil while somebody does.
	place *list.Element
}

// prefixCache holds computed blocks by the chained hash of the prompt up to their end. Blocks that no request holds
// are evicted, the least recently used first.
type prefixCache struct {
	blocks map[uint64]*block
	// idle has the blocks with no pins, the one to evict next in front.
	idle *list.List
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: map[uint64]*block{}, idle: list.New()}
}

// match returns how many leading blocks are there.
func (pc *prefixCache) match(prefixes []uint64) int {
	for i, hash := range prefixes {
		if pc.blocks[hash] == nil {
			return i
		}
	}
	return len(prefixes)
}

// add puts in a block that nobody holds and reports whether it is new.
func (pc *prefixCache) add(hash uint64) bool {
	if pc.blocks[hash] != nil {
		return false
	}
	bk := &block{hash: hash}
	bk.place = pc.idle.PushBack(bk)
	pc.blocks[hash] = bk
	return true
}

func (pc *prefixCache) pin(prefixes []uint64) {
	for _, hash := range prefixes {
		bk := pc.blocks[hash]
		bk.pins++
		if bk.place != nil {
			pc.idle.Remove(bk.place)
			bk.place = nil
		}
	}
}

// unpin lets go from the end, so that the ends of prompts are evicted before the beginnings that others may share.
func (pc *prefixCache) unpin(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		bk := pc.blocks[prefixes[i]]
		bk.pins--
		if bk.pins == 0 {
			bk.place = pc.idle.PushBack(bk)
		}
	}
}

func (pc *prefixCache) pinnedTokens() int64 {
	return int64(len(pc.blocks)-pc.idle.Len()) * blockTokens
}

// evict drops idle blocks until they take at most the tokens, and returns them.
func (pc *prefixCache) evict(tokens int64) []uint64 {
	var dropped []uint64
	for int64(pc.idle.Len())*blockTokens > tokens {
		bk := pc.idle.Remove(pc.idle.Front()).(*block)
		delete(pc.blocks, bk.hash)
		dropped = append(dropped, bk.hash)
	}
	return dropped
}
