package share

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// BenchmarkCapUse measures how much of a cap seven nodes use while four fifths
// of the demand are at one of them, and how long they take to follow when it
// moves: by moved shares, by a static split and by leased grants of an
// allocator. Virtual time, decision code only.
func BenchmarkCapUse(b *testing.B) {
	for _, p := range []struct {
		name    string
		make    func() policy
		bounded bool
	}{
		{"moved", newMoved, true},
		{"static", newStatic, false},
		{"leased", newLeased, false},
	} {
		b.Run(p.name, func(b *testing.B) {
			for range b.N {
				steady, recovery, cut, overshoot := measure(p.make())
				b.ReportMetric(steady, "steady-use")
				b.ReportMetric(recovery.Seconds(), "s-to-95%")
				b.ReportMetric(cut, "use-when-cut")
				b.ReportMetric(overshoot, "overshoot-tokens")
				if overshoot > 0 || p.bounded && (steady < minUse || recovery > recoverWithin*time.Second) {
					b.Fatalf("%s: steady use %.3f, recovery %v, overshoot %.0f tokens", p.name, steady, recovery, overshoot)
				}
			}
		})
	}
}

const (
	benchNodes = 7
	benchCost  = 40
	// benchCut is how long nobody reaches the table service or the allocator.
	benchCut = 5 * time.Minute
)

// policy is a way to divide a cap between nodes.
type policy interface {
	admit(node int, cost float64, now time.Time) bool
	// tick runs every tickPeriod; nothing moves while cut.
	tick(now time.Time, cut bool)
}

// measure drives a policy: skew at node 0, then at node 3, then a cut.
func measure(p policy) (steady float64, recovery time.Duration, cut, overshoot float64) {
	now := time.Unix(0, 0)
	o := newOracle(testCap, now)
	drive := func(hot int, d time.Duration, isCut bool) (int, int) {
		from := len(o.perSecond)
		now = driveLoad(p, o, now, hot, d, isCut)
		o.advance(now)
		return from, len(o.perSecond)
	}
	drive(0, 20*time.Second, false)
	from, to := drive(0, 20*time.Second, false)
	steady = share(o, from, to)
	from, to = drive(3, 20*time.Second, false)
	recovery = time.Duration(to-from) * time.Second
	for recovery > 0 && share(o, from+int(recovery.Seconds())-1, from+int(recovery.Seconds())) >= minUse {
		recovery -= time.Second
	}
	from, to = drive(3, benchCut, true)
	return steady, recovery, share(o, from, to), float64(o.overshoot) / float64(time.Second)
}

func share(o *oracle, from, to int) float64 {
	var sum int64
	for _, tokens := range o.perSecond[from:to] {
		sum += tokens
	}
	return float64(sum) / float64(o.rate*int64(to-from))
}

func driveLoad(p policy, o *oracle, now time.Time, hot int, d time.Duration, cut bool) time.Time {
	const total, hotShare = 15_000.0, 0.8
	credit := make([]float64, benchNodes)
	for end := now.Add(d); now.Before(end); now = now.Add(loadStep) {
		for i := range credit {
			rate := total * (1 - hotShare) / (benchNodes - 1)
			if i == hot {
				rate = total * hotShare
			}
			for credit[i] += rate * loadStep.Seconds(); credit[i] >= benchCost; credit[i] -= benchCost {
				if p.admit(i, benchCost, now) {
					o.admit(benchCost, now)
					o.settle()
				}
			}
		}
		if now.UnixNano()%int64(tickPeriod) == 0 {
			p.tick(now, cut)
		}
	}
	return now
}

// moved runs the ledgers and askers of this package over one row.
type moved struct {
	row     Row
	ledgers []*ledger
	askers  []*asker
	names   []string
}

func newMoved() policy {
	m := &moved{}
	for i := range benchNodes {
		name := fmt.Sprint("n", i)
		m.names = append(m.names, name)
		m.askers = append(m.askers, newAsker())
		m.ledgers = append(m.ledgers, &ledger{holder: name, cap: testCap})
		even := Whole / benchNodes
		m.row = m.row.with(name, name, Holding{even, even, even})
	}
	for _, l := range m.ledgers {
		l.observe(1, m.row, time.Unix(0, 0))
	}
	return m
}

func (m *moved) admit(i int, cost float64, now time.Time) bool {
	l := m.ledgers[i]
	v := l.admit(cost, now)
	if v.admitted {
		l.settle(cost, cost, now)
	}
	return v.admitted
}

// tick lets every node make one ask. The gainer raises before the loser's next
// admission, which is the worst order for the cap.
func (m *moved) tick(now time.Time, cut bool) {
	for i, l := range m.ledgers {
		lack := l.need(now)
		name := m.askers[i].choose(l.row, m.names[i], m.names, lack, now)
		if cut || lack.isZero() || name == "" {
			continue
		}
		r := peer.ReleaseRequest{
			Gainer: m.names[i], Holder: l.holder, Needed: true,
			TokensPerSecond: float64(lack.Rate) / float64(Whole) * testCap.TokensPerSecond,
			BurstTokens:     float64(lack.Burst) / float64(Whole) * testCap.BurstTokens,
			InFlight:        slots(lack.InFlight, testCap.InFlight),
		}
		m.askers[i].answered(name, m.move(name, r, now), now)
	}
}

func (m *moved) move(name string, r peer.ReleaseRequest, now time.Time) bool {
	loser := m.ledgers[m.index(name)]
	give := loser.offer(r, benchNodes, now)
	if give.isZero() {
		return false
	}
	pending := loser.beginRelease(r, give, now)
	for _, l := range append([]*ledger{m.ledgers[m.index(r.Gainer)]}, m.ledgers...) {
		l.observe(pending.expect+1, pending.next, now)
	}
	return true
}

func (m *moved) index(name string) int {
	for i := range m.names {
		if m.names[i] == name {
			return i
		}
	}
	return -1
}

// buckets is one token bucket a node, each with a rate of its own.
type buckets struct {
	rate, level [benchNodes]float64
	filled      [benchNodes]time.Time
	asked       [benchNodes]float64
}

func (s *buckets) admit(i int, cost float64, now time.Time) bool {
	s.refill(i, now)
	s.asked[i] += cost
	if s.level[i] < cost {
		return false
	}
	s.level[i] -= cost
	return true
}

func (s *buckets) refill(i int, now time.Time) {
	if !s.filled[i].IsZero() {
		s.level[i] += s.rate[i] * roundingMargin * now.Sub(s.filled[i]).Seconds()
	}
	s.filled[i] = now
	s.level[i] = min(s.level[i], testCap.BurstTokens/benchNodes)
}

func newStatic() policy { return &static{*evenBuckets()} }

func evenBuckets() *buckets {
	s := &buckets{}
	for i := range s.rate {
		s.rate[i] = testCap.TokensPerSecond / benchNodes
	}
	return s
}

// static gives every node an even share for good.
type static struct{ buckets }

func (s *static) tick(time.Time, bool) {}

// leased is an allocator that gives out grants by the demand of the last
// period. A grant ends with its lease, so a lower one frees rate for others
// one period later.
type leased struct {
	buckets
	renewed time.Time
	next    [benchNodes]float64
}

const (
	grantPeriod = time.Second
	grantLease  = 5 * time.Second
)

func newLeased() policy { return &leased{buckets: *evenBuckets()} }

func (s *leased) tick(now time.Time, cut bool) {
	if cut && now.Sub(s.renewed) > grantLease {
		for i := range s.rate {
			s.refill(i, now)
			s.rate[i], s.level[i] = 0, 0
		}
	}
	if cut || now.Sub(s.renewed) < grantPeriod {
		return
	}
	s.renewed = now
	sum := 0.0
	for _, asked := range s.asked {
		sum += asked
	}
	for i := range s.rate {
		s.refill(i, now)
		granted := s.next[i]
		s.next[i] = testCap.TokensPerSecond * s.asked[i] / max(sum, 1)
		s.rate[i] = min(granted, s.next[i])
		s.asked[i] = 0
	}
}
