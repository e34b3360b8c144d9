package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/standin/memnet"
)

// historyKeys are the rows of the history test; each transaction writes two.
var historyKeys = []string{"a", "b", "c"}

// versions is the state of the model: one version and nonce a row.
type versions [3]rowState

type rowState struct {
	version table.Version
	nonce   string
}

// historyInput is a transaction over rows from and from+1, or a read of row
// from where the nonce is empty.
type historyInput struct {
	from   int
	nonce  string
	expect [2]table.Version
}

// outcome is the result of a transaction.
type outcome int

const (
	outcomeApplied outcome = iota
	outcomeNotApplied
	outcomeUnknown
)

type historyOutput struct {
	outcome outcome
	row     rowState
}

var historyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{versions{}} },
	Step: func(state, input, output any) []any {
		return stepVersions(state.(versions), input.(historyInput), output.(historyOutput))
	},
}

// stepVersions returns the states that explain the output. A refused
// transaction explains itself only where its rows do not match, unless the
// service refused it for another reason, which counts as outcomeUnknown.
func stepVersions(state versions, in historyInput, out historyOutput) []any {
	second := (in.from + 1) % len(state)
	if in.nonce == "" {
		if state[in.from] == out.row {
			return []any{state}
		}
		return nil
	}
	matches := state[in.from].version == in.expect[0] && state[second].version == in.expect[1]
	applied := state
	applied[in.from] = rowState{in.expect[0] + 1, in.nonce}
	applied[second] = rowState{in.expect[1] + 1, in.nonce}
	switch {
	case out.outcome == outcomeApplied && matches:
		return []any{applied}
	case out.outcome == outcomeNotApplied && !matches:
		return []any{state}
	case out.outcome == outcomeUnknown && matches:
		return []any{state, applied}
	case out.outcome == outcomeUnknown:
		return []any{state}
	}
	return nil
}

// historyClient runs transactions against the rows and records them.
type historyClient struct {
	id     int
	store  table.Store
	random *rand.Rand
	start  time.Time
	ops    []porcupine.Operation
	counts [3]int // by outcome
}

func (c *historyClient) run(steps int) {
	for step := range steps {
		from := c.random.Intn(len(historyKeys))
		first, okFirst := c.read(from)
		second, okSecond := c.read((from + 1) % len(historyKeys))
		if okFirst && okSecond {
			c.commit(historyInput{from: from, nonce: fmt.Sprintf("%d-%d", c.id, step), expect: [2]table.Version{first.version, second.version}})
		}
		time.Sleep(time.Duration(c.random.Intn(40)) * time.Millisecond)
	}
}

func (c *historyClient) read(from int) (rowState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	called := time.Since(c.start)
	row, err := c.store.Get(ctx, historyKeys[from])
	if err != nil {
		return rowState{}, false
	}
	state := rowState{row.Version, row.Nonce}
	c.record(historyInput{from: from}, called, historyOutput{row: state}, time.Since(c.start))
	return state, true
}

func (c *historyClient) commit(in historyInput) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	called := time.Since(c.start)
	err := c.store.Commit(ctx, table.Txn{Nonce: in.nonce, Writes: []table.Write{
		{Key: historyKeys[in.from], Expect: in.expect[0], Value: []byte("1")},
		{Key: historyKeys[(in.from+1)%len(historyKeys)], Expect: in.expect[1], Value: []byte("1")},
	}})
	var conflict *table.ConflictError
	out := outcomeApplied
	switch {
	case errors.As(err, &conflict):
		out = outcomeNotApplied
	case errors.Is(err, table.ErrUnavailable):
		return // no effect: nothing to explain
	case err != nil:
		out = outcomeUnknown
	}
	c.counts[out]++
	returned := time.Since(c.start)
	if out == outcomeUnknown {
		returned = time.Hour // it may take effect at any later time
	}
	c.record(in, called, historyOutput{outcome: out}, returned)
}

func (c *historyClient) record(in historyInput, called time.Duration, out historyOutput, returned time.Duration) {
	c.ops = append(c.ops, porcupine.Operation{ClientId: c.id, Input: in, Call: int64(called), Output: out, Return: int64(returned)})
}

// TestTableHistory checks that racing transactions over several rows are
// linearizable under lost answers, outages, pauses and delays: one that is
// reported as not applied had no effect, and one reported as applied had its
// effect once.
func TestTableHistory(t *testing.T) {
	for name, overHTTP := range map[string]bool{"in memory": false, "over HTTP": true} {
		for seed := range int64(10) {
			t.Run(fmt.Sprintf("%s seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkHistory(t, overHTTP, seed) })
			})
		}
	}
}

func checkHistory(t *testing.T, overHTTP bool, seed int64) {
	p := New(Options{})
	var store table.Store = p.Table
	if overHTTP {
		var network memnet.Network
		server := network.Serve("platform:80", p.Handler())
		defer server.Close()
		client := network.Client()
		defer client.CloseIdleConnections()
		store = table.NewClient("http://platform:80", client)
	}
	start := time.Now()
	clients := make([]*historyClient, 5)
	var wg sync.WaitGroup
	for i := range clients {
		clients[i] = &historyClient{id: i, store: store, start: start, random: rand.New(rand.NewSource(seed*100 + int64(i)))}
		wg.Go(func() { clients[i].run(25) })
	}
	for _, f := range []Faults{{LoseEvery: 2}, {Pause: true, LateCommits: true}, {LoseEvery: 3, DelayMillis: 5}, {Outage: true}, {LoseNext: 10}, {}} {
		p.SetFaults(f)
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	var ops []porcupine.Operation
	var counts [3]int
	for _, c := range clients {
		ops = append(ops, c.ops...)
		for i := range counts {
			counts[i] += c.counts[i]
		}
	}
	t.Logf("%d applied, %d not applied, %d unknown", counts[outcomeApplied], counts[outcomeNotApplied], counts[outcomeUnknown])
	if counts[outcomeApplied] == 0 || counts[outcomeNotApplied] == 0 {
		t.Fatal("the history shows no race")
	}
	model := historyModel.ToModel()
	if !porcupine.CheckOperations(model, ops) {
		t.Fatal("the history is not linearizable")
	}
}
