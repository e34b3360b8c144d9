package endpoint

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the number of prompt bytes (not characters) in one block of the
// prefix cache.
const BlockBytes = 64

// CountTokens returns the number of tokens of a text as engines count them: the
// number of its words, but at least 1.
func CountTokens(s string) int {
	return max(1, len(strings.Fields(s)))
}

// PrefixBlocks returns a hash for each complete block of the prompt. Each hash
// covers the prompt from its start to the end of the block, so the last one is
// that of the longest prefix. Cache events contain the same hashes.
func PrefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockBytes)
	digest := xxhash.New()
	for len(prompt) >= BlockBytes {
		_, _ = digest.WriteString(prompt[:BlockBytes])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[BlockBytes:]
	}
	return blocks
}
