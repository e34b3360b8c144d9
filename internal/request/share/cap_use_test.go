package share

import (
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/connection/peer"
)

// BenchmarkCapUse measures how much of a cap seven nodes use while four fifths of
// the demand are at one of them, and how long they take to adapt when the demand
// moves to another node. It compares shares moved between peers, a static split
// and an allocator's leased grants, in virtual time and without I/O.
func BenchmarkCapUse(b *testing.B) {
	for _, p := range []struct {
		name string
		make func() policy
		// mustMeetTarget is true if steady use and recovery are checked.
		mustMeetTarget bool
	}{
		{"moved", newMovedShares, true},
		{"static", newStaticSplit, false},
		{"leased", newLeasedGrants, false},
	} {
		b.Run(p.name, func(b *testing.B) {
			for range b.N {
				steady, recovery, outageUse, overshoot := measurePolicy(p.make())
				b.ReportMetric(steady, "steady-use")
				b.ReportMetric(recovery.Seconds(), "s-to-95%")
				b.ReportMetric(outageUse, "use-when-cut")
				b.ReportMetric(overshoot, "overshoot-tokens")
				if overshoot > 0 || p.mustMeetTarget && (steady < minUtilization || recovery > recoverySeconds*time.Second) {
					b.Fatalf("%s: got steady use %.3f, recovery %v, overshoot %.0f tokens, want no overshoot and, for moved shares, minUtilization within recoverySeconds", p.name, steady, recovery, overshoot)
				}
			}
		})
	}
}

const (
	benchNodes      = 7
	benchCostTokens = 40
	// benchOutage is how long no node reaches the table service or the allocator.
	benchOutage = 5 * time.Minute
)

// policy divides a cap between nodes.
type policy interface {
	admit(node int, cost float64, now time.Time) bool
	// tick runs every tickInterval. Nothing may move during an outage.
	tick(now time.Time, outage bool)
}

// measurePolicy applies demand skewed to node 0, then to node 3, and then continues
// it during an outage.
func measurePolicy(p policy) (steady float64, recovery time.Duration, outageUse, overshoot float64) {
	now := time.Unix(0, 0)
	o := newOracle(testCap, now)
	run := func(hotNode int, d time.Duration, outage bool) (int, int) {
		from := len(o.perSecond)
		now = applyLoad(p, o, now, hotNode, d, outage)
		o.advance(now)
		return from, len(o.perSecond)
	}
	run(0, 20*time.Second, false)
	from, to := run(0, 20*time.Second, false)
	steady = utilizationBetween(o, from, to)
	from, to = run(3, 20*time.Second, false)
	recovery = time.Duration(to-from) * time.Second
	for recovery > 0 && utilizationBetween(o, from+int(recovery.Seconds())-1, from+int(recovery.Seconds())) >= minUtilization {
		recovery -= time.Second
	}
	from, to = run(3, benchOutage, true)
	return steady, recovery, utilizationBetween(o, from, to), float64(o.overshoot) / float64(time.Second)
}

// utilizationBetween returns the admitted tokens as a fraction of the cap, from
// second from up to second to.
func utilizationBetween(o *oracle, from, to int) float64 {
	var sum int64
	for _, tokens := range o.perSecond[from:to] {
		sum += tokens
	}
	return float64(sum) / float64(o.rate*int64(to-from))
}

// applyLoad sends skewed demand to a policy for a time and returns the time after
// it.
func applyLoad(p policy, o *oracle, now time.Time, hotNode int, d time.Duration, outage bool) time.Time {
	const total, hotShare = 15_000.0, 0.8
	credit := make([]float64, benchNodes)
	for end := now.Add(d); now.Before(end); now = now.Add(loadStep) {
		for i := range credit {
			rate := total * (1 - hotShare) / (benchNodes - 1)
			if i == hotNode {
				rate = total * hotShare
			}
			for credit[i] += rate * loadStep.Seconds(); credit[i] >= benchCostTokens; credit[i] -= benchCostTokens {
				if p.admit(i, benchCostTokens, now) {
					o.admit(benchCostTokens, now)
					o.settle()
				}
			}
		}
		if now.UnixNano()%int64(tickInterval) == 0 {
			p.tick(now, outage)
		}
	}
	return now
}

// movedShares runs the ledgers and pacers of this package on one shared row.
type movedShares struct {
	row       Row
	ledgers   []*ledger
	pacers    []*pacer
	nodeNames []string
}

func newMovedShares() policy {
	m := &movedShares{}
	for i := range benchNodes {
		name := fmt.Sprint("n", i)
		m.nodeNames = append(m.nodeNames, name)
		m.pacers = append(m.pacers, newPacer())
		m.ledgers = append(m.ledgers, &ledger{holder: name, cap: testCap})
		even := WholeCap / benchNodes
		m.row = m.row.withHolding(name, name, Holding{even, even, even})
	}
	for _, l := range m.ledgers {
		l.applyRow(1, m.row, time.Unix(0, 0))
	}
	return m
}

func (m *movedShares) admit(i int, cost float64, now time.Time) bool {
	l := m.ledgers[i]
	d := l.admit(cost, now)
	if d.admitted {
		l.settle(cost, cost, now)
	}
	return d.admitted
}

// tick lets every node ask one peer. The recipient applies the new row before the
// donor's next admission, which is the order most likely to exceed the cap.
func (m *movedShares) tick(now time.Time, outage bool) {
	for i, l := range m.ledgers {
		shortfall := l.demandShortfall(now)
		peerName := m.pacers[i].choosePeer(l.row, m.nodeNames[i], m.nodeNames, shortfall, now)
		if outage || shortfall.isZero() || peerName == "" {
			continue
		}
		r := peer.ReleaseRequest{
			Recipient: m.nodeNames[i], Holder: l.holder, Needed: true,
			TokensPerSecond: float64(shortfall.Rate) / float64(WholeCap) * testCap.TokensPerSecond,
			BurstTokens:     float64(shortfall.Burst) / float64(WholeCap) * testCap.BurstTokens,
			InFlight:        slots(shortfall.InFlight, testCap.InFlight),
		}
		m.pacers[i].recordAnswer(peerName, m.move(peerName, r, now), now)
	}
}

func (m *movedShares) move(donorName string, r peer.ReleaseRequest, now time.Time) bool {
	donor := m.ledgers[m.index(donorName)]
	give := donor.offer(r, benchNodes, now)
	if give.isZero() {
		return false
	}
	pending := donor.beginRelease(r, give, now)
	for _, l := range append([]*ledger{m.ledgers[m.index(r.Recipient)]}, m.ledgers...) {
		l.applyRow(pending.expect+1, pending.next, now)
	}
	return true
}

func (m *movedShares) index(name string) int {
	for i := range m.nodeNames {
		if m.nodeNames[i] == name {
			return i
		}
	}
	return -1
}

// nodeBuckets is one token bucket per node, each with its own rate.
type nodeBuckets struct {
	rate, tokens [benchNodes]float64
	refilledAt   [benchNodes]time.Time
	askedTokens  [benchNodes]float64
}

func (s *nodeBuckets) admit(i int, cost float64, now time.Time) bool {
	s.refill(i, now)
	s.askedTokens[i] += cost
	if s.tokens[i] < cost {
		return false
	}
	s.tokens[i] -= cost
	return true
}

func (s *nodeBuckets) refill(i int, now time.Time) {
	if !s.refilledAt[i].IsZero() {
		s.tokens[i] += s.rate[i] * roundingMargin * now.Sub(s.refilledAt[i]).Seconds()
	}
	s.refilledAt[i] = now
	s.tokens[i] = min(s.tokens[i], testCap.BurstTokens/benchNodes)
}

func newStaticSplit() policy { return &staticSplit{*evenBuckets()} }

func evenBuckets() *nodeBuckets {
	s := &nodeBuckets{}
	for i := range s.rate {
		s.rate[i] = testCap.TokensPerSecond / benchNodes
	}
	return s
}

// staticSplit gives every node a fixed, even share.
type staticSplit struct{ nodeBuckets }

func (s *staticSplit) tick(time.Time, bool) {}

// leasedGrants is an allocator that grants rates by the demand of the last
// interval. A grant lasts until the next one, so a lower grant frees rate for other
// nodes only one interval later.
type leasedGrants struct {
	nodeBuckets
	renewedAt time.Time
	nextRate  [benchNodes]float64
}

const (
	grantInterval = time.Second
	grantTTL      = 5 * time.Second
)

func newLeasedGrants() policy { return &leasedGrants{nodeBuckets: *evenBuckets()} }

func (s *leasedGrants) tick(now time.Time, outage bool) {
	if outage && now.Sub(s.renewedAt) > grantTTL {
		for i := range s.rate {
			s.refill(i, now)
			s.rate[i], s.tokens[i] = 0, 0
		}
	}
	if outage || now.Sub(s.renewedAt) < grantInterval {
		return
	}
	s.renewedAt = now
	sum := 0.0
	for _, asked := range s.askedTokens {
		sum += asked
	}
	for i := range s.rate {
		s.refill(i, now)
		granted := s.nextRate[i]
		s.nextRate[i] = testCap.TokensPerSecond * s.askedTokens[i] / max(sum, 1)
		s.rate[i] = min(granted, s.nextRate[i])
		s.askedTokens[i] = 0
	}
}
