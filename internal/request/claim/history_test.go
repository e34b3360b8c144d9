package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/standin/platform"
)

// callInput is one try of a call.
type callInput struct {
	key     string
	attempt int
}

// callOutput is what the caller was told, and whether the endpoint ran this
// try, as the endpoint recorded it.
type callOutput struct {
	executed bool
	replayed int // attempt whose answer was replayed, 0 for none
	refused  refusal.Ran
}

// atMostOnce is the specification of one key: its state is the attempt that
// ran, 0 before.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(callInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		ran, in, out := state.(int), input.(callInput), output.(callOutput)
		switch {
		case out.executed && out.refused == refusal.RanNo:
			return false, ran
		case out.executed:
			return ran == 0, in.attempt
		case out.replayed != 0:
			return ran == out.replayed, ran
		default:
			return true, ran
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// entry is one node's claims with the faults of its link to the table.
type entry struct {
	table.Store
	claims *Store
	ctx    context.Context
	cancel context.CancelFunc
}

// bench runs calls at several nodes and records their history.
type bench struct {
	t        *testing.T
	rnd      *rand.Rand
	platform *platform.Platform
	entries  []*entry
	group    sync.WaitGroup
	start    time.Time

	mu       sync.Mutex
	attempts int
	executed map[int]bool
	history  []porcupine.Operation
	counts   map[string]int
}

func (b *bench) restart(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{Store: b.platform.Table, ctx: ctx, cancel: cancel}
	e.claims = New(b.platform.Table, Options{})
	b.mu.Lock()
	b.entries[i] = e
	b.mu.Unlock()
	b.group.Go(func() { e.claims.Run(ctx) })
}

func (b *bench) chance(percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rnd.IntN(100) < percent
}

func (b *bench) draw(limit time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rnd.Int64N(int64(limit)))
}

func (b *bench) count(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[what]++
}

// call makes one try at a node and records it.
func (b *bench) call(client int, key string, node int) {
	b.mu.Lock()
	b.attempts++
	attempt := b.attempts
	e := b.entries[node]
	b.mu.Unlock()
	invoked := time.Now()
	out := b.try(e, key, attempt)
	b.mu.Lock()
	defer b.mu.Unlock()
	out.executed = b.executed[attempt]
	b.history = append(b.history, porcupine.Operation{
		ClientId: client, Input: callInput{key, attempt}, Call: int64(invoked.Sub(b.start)),
		Output: out, Return: int64(time.Since(b.start)),
	})
}

func (b *bench) try(e *entry, key string, attempt int) callOutput {
	ctx, cancel := context.WithTimeout(e.ctx, 3*time.Second)
	defer cancel()
	outcome, refused := e.claims.Begin(ctx, Call{Service: "loans", Account: "a", Key: key, Fingerprint: 1})
	if refused != nil {
		b.count("refused " + string(refused.Ran))
		return callOutput{refused: refused.Ran}
	}
	if outcome.Replay != nil {
		b.count("replayed")
		return callOutput{replayed: outcome.Replay.Status}
	}
	return b.run(ctx, e, outcome.Ticket, attempt)
}

// run carries the call out as a dispatcher would.
func (b *bench) run(ctx context.Context, e *entry, ticket *Ticket, attempt int) callOutput {
	if b.chance(10) {
		b.count("abandoned")
		_ = e.claims.Abandon(ctx, ticket)
		return callOutput{refused: refusal.RanNo}
	}
	time.Sleep(b.draw(50 * time.Millisecond))
	if e.ctx.Err() != nil {
		b.count("died before the call")
		return callOutput{refused: refusal.RanUnknown}
	}
	b.mu.Lock()
	b.executed[attempt] = true
	b.mu.Unlock()
	b.count("executed")
	time.Sleep(b.draw(200 * time.Millisecond))
	if e.ctx.Err() != nil || b.chance(15) {
		b.count("answer lost")
		return callOutput{refused: refusal.RanUnknown}
	}
	_ = e.claims.Record(ctx, ticket, Answer{Status: attempt})
	return callOutput{}
}

// disturb injects faults until done is closed.
func (b *bench) disturb(done <-chan struct{}) {
	for {
		select {
		case <-done:
			b.platform.SetFaults(platform.Faults{})
			return
		case <-time.After(b.draw(4 * time.Second)):
		}
		b.mu.Lock()
		kind, victim := b.rnd.IntN(6), b.rnd.IntN(len(b.entries))
		e := b.entries[victim]
		b.mu.Unlock()
		switch kind {
		case 0:
			b.platform.SetFaults(platform.Faults{Outage: true})
		case 1:
			b.platform.SetFaults(platform.Faults{LoseEvery: 2})
		case 2:
			b.platform.SetFaults(platform.Faults{Pause: true})
		case 3:
			b.platform.SetFaults(platform.Faults{DelayMillis: 300})
		case 4:
			e.cancel()
			b.restart(victim)
		default:
			b.platform.SetFaults(platform.Faults{})
		}
	}
}

func TestInvariantAtMostOnce(t *testing.T) {
	const (
		seeds   = 12
		nodes   = 3
		clients = 8
		calls   = 40
		keys    = 20
	)
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			b := &bench{
				t: t, rnd: rand.New(rand.NewPCG(seed, 0)), start: time.Now(), entries: make([]*entry, nodes),
				platform: platform.New(platform.Options{}), executed: map[int]bool{}, counts: map[string]int{},
			}
			for i := range nodes {
				b.restart(i)
			}
			done := make(chan struct{})
			var disturber sync.WaitGroup
			disturber.Go(func() { b.disturb(done) })
			var callers sync.WaitGroup
			for client := range clients {
				callers.Go(func() {
					for i := range calls {
						b.call(client, fmt.Sprintf("k%d", (i*keys/calls+client%2)%keys), (client+i)%nodes)
						time.Sleep(b.draw(2 * time.Second))
					}
				})
			}
			callers.Wait()
			close(done)
			disturber.Wait()
			for _, e := range b.entries {
				e.cancel()
			}
			b.group.Wait()
			b.check(seed)
		})
	}
}

func (b *bench) check(seed uint64) {
	b.t.Helper()
	b.t.Logf("seed %d: %v", seed, b.counts)
	runs := map[string]int{}
	for _, op := range b.history {
		if op.Output.(callOutput).executed {
			runs[op.Input.(callInput).key]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			b.t.Errorf("seed %d: key %s ran %d times", seed, key, n)
		}
	}
	if result := porcupine.CheckOperationsTimeout(atMostOnce, b.history, 20*time.Second); result != porcupine.Ok {
		b.t.Errorf("seed %d: history is %s", seed, result)
	}
}
