package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/capacity"
	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/standin/platform"
	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// benchPollInterval is the default mean interval between reads of the head.
const benchPollInterval = time.Second

// noPeers is a PeerSource without peers.
type noPeers struct{}

func (noPeers) Log(context.Context, int64) ([]object.Record, error) {
	return nil, errors.New("no peers")
}
func (noPeers) Snapshot(context.Context) (*snapshot.Snapshot, error) {
	return nil, errors.New("no peers")
}

// benchAccount returns a proposal that changes the token rate cap of one client
// account.
func benchAccount(i, tokensPerSecond int) Proposal {
	return Proposal{Author: "anna", Changes: []object.Change{{Object: &object.Object{Kind: object.KindClientAccount, Metadata: object.Metadata{Name: fmt.Sprintf("account-%03d", i)}, Spec: &object.ClientAccountSpec{KeyHashes: []string{fmt.Sprintf("%064x", i)}, Ranks: []string{"urgent"}, TokensPerSecond: float64(tokensPerSecond), BurstTokens: 5000, MaxInFlight: 20, Class: object.AccountSmall}}}}}
}

// benchStore returns a store with the configuration of the planned fleet.
func benchStore(b *testing.B) (*capacity.CountingStore, *Acceptor) {
	store := &capacity.CountingStore{Store: platform.New(platform.Options{WritesPerSecond: 1e9, ReadsPerSecond: 1e9}).Table}
	acceptor := NewAcceptor(store, eventlog.Discard())
	var changes []object.Change
	rank := &object.Object{Kind: object.KindRank, Metadata: object.Metadata{Name: "urgent"}, Spec: &object.RankSpec{FirstTokenTargetMillis: 670, InterTokenTargetMillis: 27, QueueBound: 100, MaxAttempts: 3, Objective: 0.95}}
	changes = append(changes, object.Change{Object: rank})
	for g := range capacity.Groups {
		changes = append(changes, object.Change{Object: &object.Object{Kind: object.KindReplicaGroup, Metadata: object.Metadata{Name: fmt.Sprintf("advice-%03d", g)}, Spec: &object.ReplicaGroupSpec{Model: "advice-70b", ModelVersion: "1", FailureDomain: fmt.Sprintf("domain-%d", g%capacity.FailureDomains), Members: capacity.GroupMembers}}})
	}
	for h := range capacity.Hosts {
		changes = append(changes, object.Change{Object: &object.Object{Kind: object.KindHost, Metadata: object.Metadata{Name: fmt.Sprintf("worker-%04d", h)}, Spec: &object.HostSpec{ChecksFencing: true}}})
	}
	for a := range capacity.Accounts {
		changes = append(changes, benchAccount(a, 1000).Changes...)
	}
	const batch = 50
	for len(changes) > 0 {
		n := min(batch, len(changes))
		if _, err := acceptor.Propose(context.Background(), Proposal{Author: "anna", Changes: changes[:n]}); err != nil {
			b.Fatal(err)
		}
		changes = changes[n:]
	}
	return store, acceptor
}

// BenchmarkCapacityHeadPoll reads an unchanged head, then accepts and follows one
// change. It reports the resulting rates at the poll interval and the planned
// number of changes, and fails where they exceed the limits of package capacity.
func BenchmarkCapacityHeadPoll(b *testing.B) {
	ctx := context.Background()
	store, acceptor := benchStore(b)
	f := NewFollower(store, noPeers{}, benchPollInterval, eventlog.Discard())
	store.Reset()
	f.loadInitial(ctx)
	load := store.Usage()
	var poll, accept, follow capacity.Usage
	tokens := 1000
	for b.Loop() {
		tokens++
		store.Reset()
		if err := f.syncFromStore(ctx); err != nil {
			b.Fatal(err)
		}
		poll = store.Usage()
		store.Reset()
		if _, err := acceptor.Propose(ctx, benchAccount(7, tokens)); err != nil {
			b.Fatal(err)
		}
		accept = store.Usage()
		store.Reset()
		if err := f.syncFromStore(ctx); err != nil {
			b.Fatal(err)
		}
		follow = store.Usage()
	}
	changes := float64(capacity.ChangesPerDay) / (24 * time.Hour).Seconds()
	bytes := float64(poll.Bytes)/benchPollInterval.Seconds() + float64(follow.Bytes)*changes
	reads := capacity.Nodes * (float64(poll.Reads)/benchPollInterval.Seconds() + float64(follow.Reads)*changes)
	b.ReportMetric(float64(poll.Bytes), "bytes/poll")
	b.ReportMetric(float64(follow.Bytes), "bytes/followed-change")
	b.ReportMetric(float64(accept.Reads), "reads/accepted-change")
	b.ReportMetric(float64(accept.Commits), "writes/accepted-change")
	b.ReportMetric(float64(load.Bytes), "bytes/start")
	b.ReportMetric(bytes, "wire-bytes/node/s")
	b.ReportMetric(reads, "fleet-reads/s")
	if bytes > capacity.ConfigBytesPerSecond || reads > capacity.TableReadsPerSecond/2 {
		b.Fatalf("configuration reads: got %.0f bytes/s per node, want at most %d; got %.0f reads/s of the fleet, want at most half of the table service's limit", bytes, capacity.ConfigBytesPerSecond, reads)
	}
}

var _ table.Store = (*capacity.CountingStore)(nil)

// BenchmarkCapacityRecordDecode decodes one record, which each node does for each
// change.
func BenchmarkCapacityRecordDecode(b *testing.B) {
	data, err := json.Marshal(object.Record{Revision: 9, Author: "anna", Changes: benchAccount(7, 1000).Changes})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var record object.Record
		if err := json.Unmarshal(data, &record); err != nil {
			b.Fatal(err)
		}
	}
}
