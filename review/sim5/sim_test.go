//go:build review

// Package sim5 plays feed.Follower in virtual time: five nodes that read from the store, from a hub and
// from each other, and looks for tables that go back or stay different. SEED and COUNT choose the plays.
package sim5

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/feed"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/version/position"
)

type store struct {
	mu        sync.Mutex
	r         *rand.Rand
	version   int64
	rows      map[string]feed.Record
	history   []feed.Record
	compacted int64
}

func (s *store) write(key string, deleted bool) {
	s.version += 1 + int64(s.r.Intn(2))
	r := feed.Record{Key: key, Version: s.version, Value: []byte(fmt.Sprint(s.r.Intn(3))), Deleted: deleted}
	if deleted {
		if _, ok := s.rows[key]; !ok {
			return
		}
		r.Value = nil
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) records() []feed.Record {
	var out []feed.Record
	for _, r := range s.rows {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b feed.Record) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}

// view is a node's access to the store.
type view struct {
	*store
	away func() bool
}

var errAway = errors.New("away")

func (v view) Snapshot(ctx context.Context, _ feed.Topic) (feed.Batch, error) {
	time.Sleep(3 * time.Millisecond)
	if v.away() {
		return feed.Batch{}, errAway
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.r.Intn(3) > 0 {
		return feed.Batch{Records: v.records(), Version: v.version, Complete: true}, nil
	}
	// Read in two pages, with writes in between, as platform.Store does.
	all := v.records()
	half := len(all) / 2
	batch := feed.Batch{Version: v.version, Complete: true, Records: slices.Clone(all[:half])}
	from := ""
	if half > 0 {
		from = all[half-1].Key
	}
	for range v.r.Intn(6) {
		v.write(fmt.Sprintf("k%02d", v.r.Intn(12)), v.r.Intn(2) == 0)
	}
	for _, r := range v.records() {
		if r.Key > from {
			batch.Records = append(batch.Records, r)
		}
	}
	changes := feed.Batch{Version: v.version}
	for _, r := range v.history {
		if r.Version > batch.Version {
			changes.Records = append(changes.Records, r)
		}
	}
	return batch.Updated(changes), nil
}

func (v view) Changes(ctx context.Context, _ feed.Topic, since position.Position, wait time.Duration) (feed.Batch, error) {
	deadline := time.Now().Add(wait)
	for {
		time.Sleep(3 * time.Millisecond)
		if v.away() {
			<-ctx.Done()
			return feed.Batch{}, ctx.Err()
		}
		v.mu.Lock()
		if since.Version < v.compacted {
			v.mu.Unlock()
			return feed.Batch{}, feed.ErrCompacted
		}
		b := feed.Batch{Version: v.version}
		for _, r := range v.history {
			if r.Version > since.Version {
				b.Records = append(b.Records, r)
			}
		}
		v.mu.Unlock()
		if len(b.Records) > 0 || time.Now().After(deadline) {
			return b, nil
		}
		if ctx.Err() != nil {
			return feed.Batch{}, ctx.Err()
		}
	}
}

// other is a node's access to another node, packed or not.
type other struct {
	f      *feed.Follower
	packed bool
	away   func() bool
}

func (o other) Snapshot(ctx context.Context, _ feed.Topic) (feed.Batch, error) {
	time.Sleep(2 * time.Millisecond)
	if o.away() {
		return feed.Batch{}, errAway
	}
	if !o.packed {
		b, loaded := o.f.Snapshot()
		if !loaded {
			return feed.Batch{}, errAway
		}
		return b, nil
	}
	p, loaded, err := o.f.PackedSnapshot()
	if err != nil || !loaded {
		return feed.Batch{}, errAway
	}
	return unpack(p)
}

func (o other) Changes(ctx context.Context, _ feed.Topic, since position.Position, wait time.Duration) (feed.Batch, error) {
	time.Sleep(2 * time.Millisecond)
	if o.away() {
		<-ctx.Done()
		return feed.Batch{}, ctx.Err()
	}
	if !o.packed {
		return o.f.Changes(ctx, since, wait)
	}
	p, err := o.f.PackedChanges(ctx, since, wait)
	if err != nil {
		return feed.Batch{}, err
	}
	return unpack(p)
}

func play(t *testing.T, seed int64) (broken []string) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{r: rand.New(rand.NewSource(seed)), rows: map[string]feed.Record{}}
		r := rand.New(rand.NewSource(seed + 1))
		ctx, cancel := context.WithCancel(context.Background())
		const n = 5
		var mu sync.Mutex
		followers := make([]*feed.Follower, n)
		away := make([]time.Time, n)
		dead := make([]time.Time, n)
		hub := 0
		var seen [n]map[string]int64
		var begin func(i int) context.CancelFunc
		begin = func(i int) context.CancelFunc {
			cctx, stop := context.WithCancel(ctx)
			seen[i] = map[string]int64{}
			own := seen[i]
			access := func(j int) feed.Source {
				return other{followers[j], (i+j)%2 == 0, func() bool { mu.Lock(); defer mu.Unlock(); return time.Now().Before(dead[j]) }}
			}
			var f *feed.Follower
			f = feed.NewFollower(feed.TopicHosts, view{s, func() bool { mu.Lock(); defer mu.Unlock(); return time.Now().Before(away[i]) }}, func() feed.Upstream {
				mu.Lock()
				h := hub
				mu.Unlock()
				up := feed.Upstream{ServesOthers: h == i, DomainNodes: n}
				if h != i {
					up.Hub = access(h)
					for j := range n {
						if j != i && j != h && len(up.Deputies) < 2 && i > 2 {
							up.Deputies = append(up.Deputies, access(j))
						}
					}
				}
				for j := range n {
					if j != i && len(up.Peers) < 2 {
						up.Peers = append(up.Peers, access((j+i)%n))
					}
				}
				return up
			}, eventlog.Discard(), func(changed []feed.Record, restored bool) {
				for _, c := range changed {
					if c.Version < own[c.Key] {
						mu.Lock()
						broken = append(broken, fmt.Sprintf("REGRESS node %d %s %d after %d", i, c.Key, c.Version, own[c.Key]))
						mu.Unlock()
					}
					own[c.Key] = c.Version
				}
			})
			mu.Lock()
			followers[i] = f
			mu.Unlock()
			go f.Run(cctx)
			return stop
		}
		// Followers refer to each other.
		for i := range followers {
			followers[i] = feed.NewFollower(feed.TopicHosts, nil, nil, eventlog.Discard(), nil)
		}
		stops := make([]context.CancelFunc, n)
		for i := range n {
			stops[i] = begin(i)
		}
		for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(r.Intn(400)) * time.Millisecond)
			s.mu.Lock()
			for range r.Intn(4) {
				s.write(fmt.Sprintf("k%02d", s.r.Intn(12)), s.r.Intn(2) == 0)
			}
			if r.Intn(15) == 0 {
				s.compacted, s.history = s.version, nil
			}
			s.mu.Unlock()
			mu.Lock()
			d := time.Duration(r.Intn(4000)) * time.Millisecond
			switch r.Intn(12) {
			case 0:
				away[r.Intn(n)] = time.Now().Add(d)
			case 1:
				dead[r.Intn(n)] = time.Now().Add(d)
			case 2:
				hub = r.Intn(n)
			case 3:
				for i := range away {
					away[i] = time.Now().Add(d)
				}
			}
			mu.Unlock()
			if r.Intn(25) == 0 {
				i := r.Intn(n)
				stops[i]()
				stops[i] = begin(i)
			}
		}
		time.Sleep(25 * time.Second)
		s.mu.Lock()
		want := s.records()
		s.mu.Unlock()
		for i, f := range followers {
			got := f.Table().Records()
			same := slices.EqualFunc(got, want, func(a, b feed.Record) bool {
				return a.Key == b.Key && a.Version == b.Version && string(a.Value) == string(b.Value)
			})
			if !same {
				broken = append(broken, fmt.Sprintf("DIFFERS node %d has %v, want %v", i, got, want))
			}
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
	return broken
}

func TestPlays(t *testing.T) {
	first, count := int64(1), 50
	if n, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64); err == nil {
		first = n
	}
	if n, err := strconv.Atoi(os.Getenv("COUNT")); err == nil {
		count = n
	}
	for i := range count {
		if broken := play(t, first+int64(i)); len(broken) > 0 {
			fmt.Printf("seed %d: %d %.700v\n", first+int64(i), len(broken), broken[0])
		}
	}
}
