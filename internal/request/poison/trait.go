package poison

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Trait identifies what a request may share with others: a part of its prompt, or
// everything that it consists of.
type Trait uint64

// String returns the trait as hexadecimal digits, as log events show it.
func (t Trait) String() string { return strconv.FormatUint(uint64(t), 16) }

// PartTrait returns the trait of a part of a prompt for a service.
func PartTrait(service, part string) Trait { return hashOf("part", service, part) }

// RequestTrait returns the trait of requests that are alike in everything but their
// IDs.
func RequestTrait(service, method, host, target, account, prompt string, body []byte) Trait {
	return hashOf("request", service, method, host, target, account, prompt, string(body))
}

// hashOf hashes fields. Each is preceded by its length, so that no two lists of
// fields have the same input.
func hashOf(fields ...string) Trait {
	digest := xxhash.New()
	for _, field := range fields {
		// Writing to a hash never fails.
		_, _ = digest.WriteString(strconv.Itoa(len(field)) + ":" + field)
	}
	return Trait(digest.Sum64())
}
