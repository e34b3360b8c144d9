package endpoint

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockChars is the number of prompt bytes in one block of the prefix cache.
const BlockChars = 64

// CountTokens returns the number of tokens of a text as engines count them:
// its words, and at least 1.
func CountTokens(s string) int {
	return max(1, len(strings.Fields(s)))
}

// PrefixBlocks returns a hash for each whole leading block of the prompt. Each
// hash covers the prompt from its start, the longest prefix last. Cache events
// carry the same hashes.
func PrefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockChars)
	digest := xxhash.New()
	for len(prompt) >= BlockChars {
		_, _ = digest.WriteString(prompt[:BlockChars])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[BlockChars:]
	}
	return blocks
}
