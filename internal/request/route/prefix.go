package route

import "github.com/cespare/xxhash/v2"

// BlockBytes is the length of one prompt block.
const BlockBytes = 64

// MaxPrefixBlocks bounds the number of blocks that are hashed.
const MaxPrefixBlocks = 64

// PrefixBlocks returns the hashes of the cumulative leading blocks of a
// prompt: entry i covers the first (i+1)*BlockBytes bytes. A trailing partial
// block is left out.
func PrefixBlocks(prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxPrefixBlocks)
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, count)
	d := xxhash.New()
	for i := range blocks {
		_, _ = d.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		blocks[i] = d.Sum64()
	}
	return blocks
}
