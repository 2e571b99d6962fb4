package body

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of the prompt blocks that engines cache and identify in their cache events.
const BlockBytes = 1024

// BlockTokens is BlockBytes in tokens.
const BlockTokens = BlockBytes / BytesPerToken

// Prefixes returns the chained hashes of the whole leading blocks of a prompt: hash i identifies blocks 0 to i
// together.
func Prefixes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	var chain [8]byte
	digest := xxhash.New()
	for len(prompt) >= BlockBytes {
		digest.Reset()
		_, _ = digest.Write(chain[:])
		_, _ = digest.Write(prompt[:BlockBytes])
		hash := digest.Sum64()
		binary.LittleEndian.PutUint64(chain[:], hash)
		hashes = append(hashes, hash)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}
