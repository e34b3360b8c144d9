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

// callInput identifies one attempt of a call.
type callInput struct {
	key     string
	attempt int
}

// callOutput is the result that the caller got, and whether the endpoint executed
// this attempt according to its own record.
type callOutput struct {
	executed bool
	replayed int // attempt whose answer was replayed; 0 for none
	refused  refusal.Ran
}

// atMostOnce is the reference model of one key. Its state is the attempt that was
// executed, 0 for none.
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

// testNode is one process of a node and its claims.
type testNode struct {
	table.Store
	claims *Store
	ctx    context.Context
	cancel context.CancelFunc
}

// faultScenario runs calls at several nodes under faults and records their
// history.
type faultScenario struct {
	t        *testing.T
	random   *rand.Rand
	platform *platform.Platform
	nodes    []*testNode
	group    sync.WaitGroup
	start    time.Time

	mu       sync.Mutex
	attempts int
	executed map[int]bool
	history  []porcupine.Operation
	counts   map[string]int
}

// restart starts a new process of node i.
func (s *faultScenario) restart(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	node := &testNode{Store: s.platform.Table, ctx: ctx, cancel: cancel}
	node.claims = New(s.platform.Table, Options{})
	s.mu.Lock()
	s.nodes[i] = node
	s.mu.Unlock()
	s.group.Go(func() { node.claims.Run(ctx) })
}

// chance returns true with the given probability in percent.
func (s *faultScenario) chance(percent int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(100) < percent
}

// randomDuration returns a random duration below limit.
func (s *faultScenario) randomDuration(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

// count counts a result, for the log of the test.
func (s *faultScenario) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// call makes one attempt at a node and records it in the history.
func (s *faultScenario) call(client int, key string, nodeIndex int) {
	s.mu.Lock()
	s.attempts++
	attempt := s.attempts
	node := s.nodes[nodeIndex]
	s.mu.Unlock()
	invoked := time.Now()
	out := s.attempt(node, key, attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	out.executed = s.executed[attempt]
	s.history = append(s.history, porcupine.Operation{
		ClientId: client, Input: callInput{key, attempt}, Call: int64(invoked.Sub(s.start)),
		Output: out, Return: int64(time.Since(s.start)),
	})
}

// attempt claims the key and runs the call if it got the claim.
func (s *faultScenario) attempt(node *testNode, key string, attempt int) callOutput {
	ctx, cancel := context.WithTimeout(node.ctx, 3*time.Second)
	defer cancel()
	outcome, refused := node.claims.Begin(ctx, Call{Service: "loans", Account: "a", Key: key, Fingerprint: 1})
	if refused != nil {
		s.count("refused " + string(refused.Ran))
		return callOutput{refused: refused.Ran}
	}
	if outcome.Replay != nil {
		s.count("replayed")
		return callOutput{replayed: outcome.Replay.Status}
	}
	return s.runClaimed(ctx, node, outcome.Handle, attempt)
}

// runClaimed runs a claimed call, as the API for callers does, with random
// failures.
func (s *faultScenario) runClaimed(ctx context.Context, node *testNode, handle *Handle, attempt int) callOutput {
	if s.chance(10) {
		s.count("abandoned")
		_ = node.claims.Abandon(ctx, handle)
		return callOutput{refused: refusal.RanNo}
	}
	time.Sleep(s.randomDuration(50 * time.Millisecond))
	if node.ctx.Err() != nil {
		s.count("node crashed before the call")
		return callOutput{refused: refusal.RanUnknown}
	}
	s.mu.Lock()
	s.executed[attempt] = true
	s.mu.Unlock()
	s.count("executed")
	time.Sleep(s.randomDuration(200 * time.Millisecond))
	if node.ctx.Err() != nil || s.chance(15) {
		s.count("answer lost")
		return callOutput{refused: refusal.RanUnknown}
	}
	_ = node.claims.Record(ctx, handle, Answer{Status: attempt})
	return callOutput{}
}

// injectFaults starts and ends random faults until done is closed.
func (s *faultScenario) injectFaults(done <-chan struct{}) {
	for {
		select {
		case <-done:
			s.platform.SetFaults(platform.Faults{})
			return
		case <-time.After(s.randomDuration(4 * time.Second)):
		}
		s.mu.Lock()
		kind, nodeIndex := s.random.IntN(6), s.random.IntN(len(s.nodes))
		node := s.nodes[nodeIndex]
		s.mu.Unlock()
		switch kind {
		case 0:
			s.platform.SetFaults(platform.Faults{Outage: true})
		case 1:
			s.platform.SetFaults(platform.Faults{LoseEvery: 2})
		case 2:
			s.platform.SetFaults(platform.Faults{Pause: true})
		case 3:
			s.platform.SetFaults(platform.Faults{DelayMillis: 300})
		case 4:
			node.cancel()
			s.restart(nodeIndex)
		default:
			s.platform.SetFaults(platform.Faults{})
		}
	}
}

// TestInvariantAtMostOnce verifies that no key is executed twice and that replays
// return the answer of the execution, while nodes restart and the table service
// fails, loses answers or is slow.
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
			s := &faultScenario{
				t: t, random: rand.New(rand.NewPCG(seed, 0)), start: time.Now(), nodes: make([]*testNode, nodes),
				platform: platform.New(platform.Options{}), executed: map[int]bool{}, counts: map[string]int{},
			}
			for i := range nodes {
				s.restart(i)
			}
			done := make(chan struct{})
			var injector sync.WaitGroup
			injector.Go(func() { s.injectFaults(done) })
			var callers sync.WaitGroup
			for client := range clients {
				callers.Go(func() {
					for i := range calls {
						s.call(client, fmt.Sprintf("k%d", (i*keys/calls+client%2)%keys), (client+i)%nodes)
						time.Sleep(s.randomDuration(2 * time.Second))
					}
				})
			}
			callers.Wait()
			close(done)
			injector.Wait()
			for _, node := range s.nodes {
				node.cancel()
			}
			s.group.Wait()
			s.check(seed)
		})
	}
}

// check verifies the history against the model, and the number of executions of
// each key.
func (s *faultScenario) check(seed uint64) {
	s.t.Helper()
	s.t.Logf("seed %d: %v", seed, s.counts)
	executions := map[string]int{}
	for _, op := range s.history {
		if op.Output.(callOutput).executed {
			executions[op.Input.(callInput).key]++
		}
	}
	for key, n := range executions {
		if n > 1 {
			s.t.Errorf("seed %d: key %s was executed %d times, want at most once", seed, key, n)
		}
	}
	if result := porcupine.CheckOperationsTimeout(atMostOnce, s.history, 20*time.Second); result != porcupine.Ok {
		s.t.Errorf("seed %d: got %s history, want Ok", seed, result)
	}
}
