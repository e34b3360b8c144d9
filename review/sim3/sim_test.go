//go:build review

// Package sim3 plays leader.Candidate in virtual time against a store that loses answers, carries out
// writes late, is slow or away, and looks for two leaders at once. SEED and COUNT choose the plays.
package sim3

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/leader"
	"currantladder.example/currantladder/internal/version/position"
)

type store struct {
	mu               sync.Mutex
	r                *rand.Rand
	row              table.Row
	version          int64
	lost, late, slow float64
	down             bool
	began            time.Time
	terms            map[int64]string
	broken           []string
}

type client struct {
	*store
	name string
	cut  func() bool
}

var errAway = errors.New("away")

func (c client) wait(ctx context.Context) error {
	c.mu.Lock()
	d := time.Duration(2+c.r.Intn(6)) * time.Millisecond
	if c.r.Float64() < c.slow {
		d = time.Duration(c.r.Intn(900)) * time.Millisecond
	}
	c.mu.Unlock()
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c client) Get(ctx context.Context, key string) (table.Row, error) {
	if c.cut() {
		<-ctx.Done()
		return table.Row{}, ctx.Err()
	}
	if err := c.wait(ctx); err != nil {
		return table.Row{}, err
	}
	c.mu.Lock()
	row := c.row
	row.Key = key
	down := c.down
	c.mu.Unlock()
	if down {
		return table.Row{}, errAway
	}
	if err := c.wait(ctx); err != nil {
		return table.Row{}, err
	}
	return row, nil
}

func (c client) apply(key string, expect position.Position, value json.RawMessage) (position.Position, error) {
	if int64(c.row.Version) != expect.Version {
		return position.Position{}, leader.ErrConflict
	}
	c.version += 1 + int64(c.r.Intn(3))
	c.row = table.Row{Key: key, Version: table.Version(c.version), Value: value}
	return position.Position{Version: c.version}, nil
}

func (c client) Put(ctx context.Context, key string, expect position.Position, value json.RawMessage) (position.Position, error) {
	if c.cut() {
		<-ctx.Done()
		return position.Position{}, ctx.Err()
	}
	if err := c.wait(ctx); err != nil {
		c.mu.Lock()
		if c.r.Intn(2) == 0 { // the call may have been on its way
			time.AfterFunc(time.Duration(c.r.Intn(400))*time.Millisecond, func() { c.mu.Lock(); defer c.mu.Unlock(); c.apply(key, expect, value) })
		}
		c.mu.Unlock()
		return position.Position{}, err
	}
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		return position.Position{}, errAway
	}
	x := c.r.Float64()
	switch {
	case x < c.lost:
		c.apply(key, expect, value)
		c.mu.Unlock()
		<-ctx.Done()
		return position.Position{}, ctx.Err()
	case x < c.lost+c.late:
		time.AfterFunc(time.Second+time.Duration(c.r.Intn(5000))*time.Millisecond, func() { c.mu.Lock(); defer c.mu.Unlock(); c.apply(key, expect, value) })
		c.mu.Unlock()
		<-ctx.Done()
		return position.Position{}, ctx.Err()
	}
	at, err := c.apply(key, expect, value)
	c.mu.Unlock()
	if waited := c.wait(ctx); waited != nil {
		return position.Position{}, waited
	}
	return at, err
}

func play(t *testing.T, seed int64) (broken []string, led int) {
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewSource(seed))
		s := &store{r: r, began: time.Now(), terms: map[int64]string{}}
		ctx, cancel := context.WithCancel(context.Background())
		const n = 5
		type member struct {
			c                   *leader.Candidate
			stop                context.CancelFunc
			cutUntil, muteUntil time.Time
			name                string
			life                int
		}
		var mu sync.Mutex
		members := make([]*member, n)
		begin := func(i int) {
			m := members[i]
			m.life++
			m.name = fmt.Sprintf("n%d.%d", i, m.life)
			cctx, stop := context.WithCancel(ctx)
			m.stop = stop
			start := time.Now()
			clock := func() time.Duration { return time.Since(start) + time.Hour }
			m.c = leader.New(client{s, m.name, func() bool { mu.Lock(); defer mu.Unlock(); return time.Now().Before(m.cutUntil) }}, m.name, clock, eventlog.Discard())
			go m.c.Run(cctx, leader.Eligibility{MayLead: func() bool { return true }, Deference: func() time.Duration { return time.Duration(i%2) * 1500 * time.Millisecond }, HighestTerm: func() int64 { return 0 }})
		}
		for i := range members {
			members[i] = &member{}
			begin(i)
		}
		next := time.Now().Add(2 * time.Second)
		for end := time.Now().Add(120 * time.Second); time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
			count, who := 0, ""
			for _, m := range members {
				if term, leads := m.c.Leads(); leads {
					count++
					who += " " + m.name
					s.mu.Lock()
					if other := s.terms[term]; other != "" && other != m.name {
						broken = append(broken, fmt.Sprintf("term %d of %s and %s", term, other, m.name))
					}
					s.terms[term] = m.name
					s.mu.Unlock()
				}
			}
			if count > 0 {
				led++
			}
			if count > 1 {
				broken = append(broken, fmt.Sprintf("%v: leaders%s", time.Since(s.began), who))
			}
			// digests
			if r.Intn(5) == 0 {
				for i, from := range members {
					notice := from.c.Notice()
					if notice == nil || time.Now().Before(from.muteUntil) {
						continue
					}
					for j, to := range members {
						if i == j || r.Intn(20) == 0 || time.Now().Before(to.muteUntil) {
							continue
						}
						delay := time.Duration(r.Intn(5)) * time.Millisecond
						if r.Intn(10) == 0 {
							delay = time.Duration(r.Intn(1500)) * time.Millisecond
						}
						c, sent := to.c, *notice
						time.AfterFunc(delay, func() { c.ObserveLease(sent) })
					}
				}
			}
			if time.Now().Before(next) {
				continue
			}
			next = time.Now().Add(time.Duration(r.Intn(2000)) * time.Millisecond)
			m := members[r.Intn(n)]
			d := time.Duration(200+r.Intn(5000)) * time.Millisecond
			switch r.Intn(8) {
			case 0:
				mu.Lock()
				m.cutUntil = time.Now().Add(d)
				mu.Unlock()
			case 1:
				m.muteUntil = time.Now().Add(d)
			case 2:
				s.mu.Lock()
				s.lost, s.late = 0.3, 0.3
				s.mu.Unlock()
				time.AfterFunc(d, func() { s.mu.Lock(); defer s.mu.Unlock(); s.lost, s.late = 0, 0 })
			case 3:
				s.mu.Lock()
				s.slow = 0.5
				s.mu.Unlock()
				time.AfterFunc(d, func() { s.mu.Lock(); defer s.mu.Unlock(); s.slow = 0 })
			case 4:
				s.mu.Lock()
				s.down = true
				s.mu.Unlock()
				time.AfterFunc(d, func() { s.mu.Lock(); defer s.mu.Unlock(); s.down = false })
			case 5, 6: // the leader is killed
				for i, x := range members {
					if _, leads := x.c.Leads(); leads || r.Intn(6) == 0 {
						x.stop()
						begin(i)
						break
					}
				}
			case 7: // the leader stops as planned
				for i, x := range members {
					if _, leads := x.c.Leads(); leads {
						rctx, done := context.WithTimeout(ctx, time.Second)
						_ = x.c.Release(rctx)
						done()
						x.stop()
						begin(i)
						break
					}
				}
			}
		}
		cancel()
		time.Sleep(20 * time.Second)
	})
	return broken, led
}

func TestPlays(t *testing.T) {
	first, count := int64(1), 50
	if n, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64); err == nil {
		first = n
	}
	if n, err := strconv.Atoi(os.Getenv("COUNT")); err == nil {
		count = n
	}
	total := 0
	for i := range count {
		broken, led := play(t, first+int64(i))
		total += led
		if len(broken) > 0 {
			fmt.Printf("seed %d: %d %v\n", first+int64(i), len(broken), broken[:min(3, len(broken))])
		}
	}
	fmt.Println("led share", float64(total)/float64(count)/6000)
}
