package route

import "currantladder.example/currantladder/internal/connection/endpoint"

// MaxPrefixBlocks bounds the number of blocks that are hashed.
const MaxPrefixBlocks = 64

// PrefixBlocks returns the hashes of the leading prompt blocks as engines
// compute them, up to a bound: entry i covers the first i+1 blocks. A trailing
// partial block is left out.
func PrefixBlocks(prompt string) []uint64 {
	const maxBytes = MaxPrefixBlocks * endpoint.BlockChars
	return endpoint.PrefixBlocks(prompt[:min(len(prompt), maxBytes)])
}
