package gateway

import (
	"slices"

	"currantladder.example/currantladder/internal/request/admission"
)

// endedSums adds the admission sums of this node and of the reports with a name that is
// included. Nodes of versions without admission send none.
func endedSums(own []admission.Sum, reported map[string][]admission.Sum, included func(name string) bool) []admission.Sum {
	total := slices.Clone(own)
	for name, sums := range reported {
		if included(name) {
			total = admission.Add(total, sums)
		}
	}
	return total
}
