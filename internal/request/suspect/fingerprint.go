package suspect

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its content, so that any node recognizes
// the same request when it is sent again.
func Fingerprint(model, prompt string, maxTokens int) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(strconv.Itoa(maxTokens))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}
