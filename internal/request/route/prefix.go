package route

import "currantladder.example/currantladder/internal/connection/endpoint"

// MaxPrefixBlocks is the largest number of blocks that are hashed.
const MaxPrefixBlocks = 64

// PrefixBlocks returns the hashes of the first MaxPrefixBlocks prompt blocks, as
// engines compute them. Entry i covers the first i+1 blocks. A trailing partial
// block is left out.
func PrefixBlocks(prompt string) []uint64 {
	const maxBytes = MaxPrefixBlocks * endpoint.BlockBytes
	return endpoint.PrefixBlocks(prompt[:min(len(prompt), maxBytes)])
}
