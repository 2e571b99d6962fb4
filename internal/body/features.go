package body

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// densePrefixes is the number of leading blocks up to which each prefix of a prompt is a feature. Of longer ones, each that is a quarter
	// longer than the one before is.
	densePrefixes = 16
	// maxMessages is the number of messages that are features. Those of a conversation that come first are shared most.
	maxMessages = 256
)

// Features returns hashes of what other prompts may share with this one: its messages but for the last, or else some of its prefixes, which are
// hashes that Prefixes has returned.
func (bd *Body) Features(prefixes []uint64) []uint64 {
	if bd.Chat {
		return bd.messageFeatures()
	}
	var features []uint64
	for blocks := 1; blocks <= len(prefixes); {
		features = append(features, prefixes[blocks-1])
		if blocks < densePrefixes {
			blocks++
			continue
		}
		blocks += blocks / 4
	}
	return features
}

func (bd *Body) messageFeatures() []uint64 {
	var features []uint64
	for i := range min(len(bd.Messages)-1, maxMessages) {
		message := bd.Messages[i]
		features = append(features, xxhash.Sum64(bd.Raw[message.Start:message.End]))
	}
	return features
}
