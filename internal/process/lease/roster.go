package lease

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/connection/table"
)

// pruneTTLs is the number of TTLs after which the session row of a dead node
// is deleted.
const pruneTTLs = 60

// Prefers reports whether this node should try to acquire the duty now; it is
// false until the roster was read once. The live nodes are ordered for each
// duty by rendezvous hash; each waits one renewal period for every node before
// it, so that duties spread and none stays without an owner.
func (k *Keeper) Prefers(duty string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.rosterAt.IsZero() {
		return false
	}
	since, ok := k.unowned[duty]
	if !ok {
		k.unowned[duty] = now
		since = now
	}
	position := slices.Index(Order(duty, k.liveLocked(now)), k.node)
	return now.Sub(since) >= time.Duration(position)*k.renew
}

// restartWait notes that the duty has an owner that may be live.
func (k *Keeper) restartWait(duty string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unowned[duty] = time.Now()
}

// rosterPerNode is the time between two reads of the roster for each of its
// rows, so that what a node reads a second does not grow with the fleet.
const rosterPerNode = 500 * time.Millisecond

// rosterPeriod is the time between two reads of the roster.
func (k *Keeper) rosterPeriod() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.ttl, time.Duration(len(k.roster))*rosterPerNode)
}

// Roster returns the session rows as last read, in node order, those of lapsed
// nodes included; nil before the first read. The rows must not be changed.
func (k *Keeper) Roster() []SessionRow {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.roster
}

// Live returns the nodes whose session counts as live at this moment, this
// node included.
func (k *Keeper) Live(now time.Time) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.liveLocked(now)
}

// liveLocked returns this node and those whose session row has changed since
// the read before the last.
func (k *Keeper) liveLocked(now time.Time) []string {
	live := []string{k.node}
	for node, seen := range k.observed {
		if node != k.node && (!seen.since.Before(k.rosterBefore) || now.Sub(seen.since) < 2*k.ttl+k.margin) {
			live = append(live, node)
		}
	}
	return live
}

// readRoster observes every session and deletes rows of nodes that are long
// dead. It reports whether the roster could be read.
func (k *Keeper) readRoster(ctx context.Context) bool {
	began := time.Now()
	rows, err := k.Sessions(ctx)
	if err != nil {
		return false
	}
	k.mu.Lock()
	k.roster = rows
	k.rosterBefore, k.rosterAt = k.rosterAt, began
	var prune []table.Write
	now := time.Now()
	for node, seen := range k.observed {
		if node != k.node && now.Sub(seen.since) >= pruneTTLs*k.ttl {
			prune = append(prune, table.Write{Key: SessionKey(node), Expect: seen.version, Delete: true})
		}
	}
	k.mu.Unlock()
	for _, write := range prune {
		// A conflict means that another node was faster or that the node
		// came back; either way there is nothing left to do.
		_ = k.store.Commit(ctx, table.Txn{Nonce: newNonce(), Writes: []table.Write{write}})
	}
	return true
}

// Order sorts the nodes by their preference for a duty, the most preferred
// first.
func Order(duty string, nodes []string) []string {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int {
		if c := cmp.Compare(weight(duty, b), weight(duty, a)); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return sorted
}

func weight(duty, node string) uint64 { return xxhash.Sum64String(duty + "\x00" + node) }
