package claim

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
)

// A node reads at most sweepPage rows and deletes at most sweepDeletes of them
// in each sweepPeriod: 15 old claims a second. Where more are made for long,
// rows outlive the retention.
const (
	sweepPeriod  = 10 * time.Second
	sweepPage    = 500
	sweepDeletes = 150
)

// cleanupLoop removes claims of calls that were not run.
func (s *Store) cleanupLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case ticket := <-s.cleanup:
			if s.remove(ctx, ticket) != nil {
				s.discard(ticket)
			}
		}
	}
}

// sweepLoop deletes claims older than the retention, page by page around the
// whole range of keys.
func (s *Store) sweepLoop(ctx context.Context) {
	from := ""
	for pause(ctx, jitter(sweepPeriod)) {
		from = s.sweepPage(ctx, from)
	}
}

// sweepPage sweeps one page and returns where the next one starts; an empty
// key starts anew.
func (s *Store) sweepPage(ctx context.Context, from string) string {
	rows, err := s.table.List(ctx, table.Range{Prefix: table.PrefixClaim, From: from, Limit: sweepPage})
	if err != nil {
		return from
	}
	old := s.expired(rows, time.Now())
	if len(old) > sweepDeletes {
		old = old[:sweepDeletes]
	}
	if len(old) > 0 && s.table.Commit(ctx, table.Txn{Nonce: rand.Text(), Writes: old}) == nil {
		s.options.Log.Log(eventlog.ClaimsSwept, eventlog.Fields{"claims": len(old)})
	}
	if len(old) == sweepDeletes {
		return old[len(old)-1].Key
	}
	if len(rows) < sweepPage {
		return ""
	}
	return rows[len(rows)-1].Key + "\x00"
}

// expired returns the deletions of rows older than the retention.
func (s *Store) expired(rows []table.Row, now time.Time) []table.Write {
	var old []table.Write
	for _, row := range rows {
		r, err := decode(row)
		if err == nil && now.Sub(r.Taken) > s.options.Retention {
			old = append(old, table.Write{Key: row.Key, Expect: row.Version, Delete: true})
		}
	}
	return old
}

// jitter spreads a period by a quarter to each side.
func jitter(period time.Duration) time.Duration {
	return time.Duration((0.75 + mathrand.Float64()/2) * float64(period))
}
