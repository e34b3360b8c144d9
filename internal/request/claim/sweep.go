package claim

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
)

// A node reads at most sweepPageRows rows and deletes at most maxSweepDeletes of
// them every sweepInterval, which is 15 old claims a second. If more claims are
// made for long, rows are kept beyond the retention.
const (
	sweepInterval   = 10 * time.Second
	sweepPageRows   = 500
	maxSweepDeletes = 150
)

// cleanupLoop removes claims of calls that were not run.
func (s *Store) cleanupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case handle := <-s.cleanup:
			if s.remove(ctx, handle) != nil {
				s.discard(handle)
			}
		}
	}
}

// sweepLoop deletes claims older than the retention. It reads one page per
// interval and starts again after the last key.
func (s *Store) sweepLoop(ctx context.Context) {
	from := ""
	for sleep(ctx, jitter(sweepInterval)) {
		from = s.sweepOnePage(ctx, from)
	}
}

// sweepOnePage deletes the old claims of one page. It returns the key at which
// the next page starts, empty for the first page.
func (s *Store) sweepOnePage(ctx context.Context, from string) string {
	rows, err := s.table.List(ctx, table.Range{Prefix: table.PrefixClaim, From: from, Limit: sweepPageRows})
	if err != nil {
		return from
	}
	old := s.expired(rows, time.Now())
	if len(old) > maxSweepDeletes {
		old = old[:maxSweepDeletes]
	}
	if len(old) > 0 && s.table.Commit(ctx, table.Txn{Nonce: rand.Text(), Writes: old}) == nil {
		s.options.Log.Log(eventlog.ClaimsRemoved, eventlog.Fields{"claims": len(old)})
	}
	if len(old) == maxSweepDeletes {
		return old[len(old)-1].Key
	}
	if len(rows) < sweepPageRows {
		return ""
	}
	return rows[len(rows)-1].Key + "\x00"
}

// expired returns a delete for each row older than the retention.
func (s *Store) expired(rows []table.Row, now time.Time) []table.Write {
	var old []table.Write
	for _, row := range rows {
		r, err := decode(row)
		if err == nil && now.Sub(r.ClaimedAt) > s.options.Retention {
			old = append(old, table.Write{Key: row.Key, Expect: row.Version, Delete: true})
		}
	}
	return old
}

// jitter returns the interval lengthened or shortened at random by up to a
// quarter.
func jitter(interval time.Duration) time.Duration {
	return time.Duration((0.75 + mathrand.Float64()/2) * float64(interval))
}
