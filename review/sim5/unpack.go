//go:build review

package sim5

import (
	"bytes"

	"currantladder.example/currantladder/internal/connection/feed"
)

func unpack(p feed.Packed) (feed.Batch, error) {
	b, err := feed.Unpack(bytes.NewReader(p.Body))
	b.ConfirmedAgo, b.FailedAgo = p.ConfirmedAgo, p.FailedAgo
	return b, err
}
