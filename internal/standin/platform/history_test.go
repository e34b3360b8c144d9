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

// historyKeys are the keys of the rows; each transaction writes two of them.
var historyKeys = []string{"a", "b", "c"}

// tableState is the state of the reference model: version and nonce of each row.
type tableState [3]rowState

type rowState struct {
	version table.Version
	nonce   string
}

// historyInput is a transaction that writes row keyIndex and the one after it
// (the first one follows the last). If the nonce is empty, it is a read of row
// keyIndex.
type historyInput struct {
	keyIndex int
	nonce    string
	expect   [2]table.Version
}

// outcome is what a client learned about a transaction.
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
	Init: func() []any { return []any{tableState{}} },
	Step: func(state, input, output any) []any {
		return stepTable(state.(tableState), input.(historyInput), output.(historyOutput))
	},
}

// stepTable returns the states that are possible after an operation with this
// output; none means that the output is wrong. A transaction may be reported as
// not applied only if a row has another version than expected. A transaction
// that the service may have refused for another reason counts as outcomeUnknown.
func stepTable(state tableState, in historyInput, out historyOutput) []any {
	second := (in.keyIndex + 1) % len(state)
	if in.nonce == "" {
		if state[in.keyIndex] == out.row {
			return []any{state}
		}
		return nil
	}
	matches := state[in.keyIndex].version == in.expect[0] && state[second].version == in.expect[1]
	applied := state
	applied[in.keyIndex] = rowState{in.expect[0] + 1, in.nonce}
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

// historyClient runs random transactions on the rows and records them with
// their outcomes.
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
		keyIndex := c.random.Intn(len(historyKeys))
		first, firstOK := c.read(keyIndex)
		second, secondOK := c.read((keyIndex + 1) % len(historyKeys))
		if firstOK && secondOK {
			c.commit(historyInput{keyIndex: keyIndex, nonce: fmt.Sprintf("%d-%d", c.id, step), expect: [2]table.Version{first.version, second.version}})
		}
		time.Sleep(time.Duration(c.random.Intn(40)) * time.Millisecond)
	}
}

func (c *historyClient) read(keyIndex int) (rowState, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	called := time.Since(c.start)
	row, err := c.store.Get(ctx, historyKeys[keyIndex])
	if err != nil {
		return rowState{}, false
	}
	state := rowState{row.Version, row.Nonce}
	c.record(historyInput{keyIndex: keyIndex}, called, historyOutput{row: state}, time.Since(c.start))
	return state, true
}

func (c *historyClient) commit(in historyInput) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	called := time.Since(c.start)
	err := c.store.Commit(ctx, table.Txn{Nonce: in.nonce, Writes: []table.Write{
		{Key: historyKeys[in.keyIndex], Expect: in.expect[0], Value: []byte("1")},
		{Key: historyKeys[(in.keyIndex+1)%len(historyKeys)], Expect: in.expect[1], Value: []byte("1")},
	}})
	var conflict *table.ConflictError
	out := outcomeApplied
	switch {
	case errors.As(err, &conflict):
		out = outcomeNotApplied
	case errors.Is(err, table.ErrUnavailable):
		return // the transaction had no effect, so the model needs no operation
	case err != nil:
		out = outcomeUnknown
	}
	c.counts[out]++
	returned := time.Since(c.start)
	if out == outcomeUnknown {
		returned = time.Hour // the transaction may take effect at any later time
	}
	c.record(in, called, historyOutput{outcome: out}, returned)
}

func (c *historyClient) record(in historyInput, called time.Duration, out historyOutput, returned time.Duration) {
	c.ops = append(c.ops, porcupine.Operation{ClientId: c.id, Input: in, Call: int64(called), Output: out, Return: int64(returned)})
}

// TestTableHistory verifies that concurrent transactions over several rows are
// linearizable under lost replies, outages, pauses and delays: a transaction
// that is reported as not applied has no effect, and one that is reported as
// applied takes effect exactly once.
func TestTableHistory(t *testing.T) {
	for name, overHTTP := range map[string]bool{"in memory": false, "over HTTP": true} {
		for seed := range int64(10) {
			t.Run(fmt.Sprintf("%s seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkHistory(t, overHTTP, seed) })
			})
		}
	}
}

// checkHistory runs concurrent clients under changing faults and checks their
// history against the reference model.
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
		t.Fatal("got only applied or only conflicting transactions, want some of each")
	}
	model := historyModel.ToModel()
	if !porcupine.CheckOperations(model, ops) {
		t.Fatal("the history is not linearizable")
	}
}
