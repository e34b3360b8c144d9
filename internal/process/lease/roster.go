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

// pruneAfterTTLs is the number of TTLs after which an unchanged session row of
// another node is deleted.
const pruneAfterTTLs = 60

// ShouldAcquire reports whether this node should try to acquire the role now; it is
// false until the roster was read once. For each role the live nodes are ordered
// by rendezvous hash, and each waits one renewal interval for every node before
// it. This spreads the roles over the nodes, and a role still gets an owner
// where the first nodes of its order do not take it.
func (k *Keeper) ShouldAcquire(role string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.rosterReadAt.IsZero() {
		return false
	}
	since, ok := k.unownedSince[role]
	if !ok {
		k.unownedSince[role] = now
		since = now
	}
	position := slices.Index(nodesByPreference(role, k.liveNodesLocked(now)), k.node)
	return now.Sub(since) >= time.Duration(position)*k.renewInterval
}

// resetUnownedSince restarts the wait of ShouldAcquire, because the role has an
// owner that may be live.
func (k *Keeper) resetUnownedSince(role string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unownedSince[role] = time.Now()
}

// rosterIntervalPerNode lengthens the interval between two reads of the roster
// with its number of rows, so that the rows that a node reads per second do not
// grow with the fleet.
const rosterIntervalPerNode = 500 * time.Millisecond

// rosterInterval returns the time between two reads of the roster.
func (k *Keeper) rosterInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.ttl, time.Duration(len(k.roster))*rosterIntervalPerNode)
}

// SessionRows returns all session rows as last read, lapsed ones included, in node
// order; nil before the first read. The caller must not modify them.
func (k *Keeper) SessionRows() []SessionRow {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.roster
}

// LiveNodes returns the nodes whose sessions count as live at now, this node
// included.
func (k *Keeper) LiveNodes(now time.Time) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.liveNodesLocked(now)
}

// liveNodesLocked returns this node and those whose session row was first read
// in its current version after the start of the roster read before the last one,
// or less than two TTLs plus the margin ago. The caller holds mu.
func (k *Keeper) liveNodesLocked(now time.Time) []string {
	live := []string{k.node}
	for node, seen := range k.observations {
		if node != k.node && (!seen.since.Before(k.previousRosterReadAt) || now.Sub(seen.since) < 2*k.ttl+k.takeoverMargin) {
			live = append(live, node)
		}
	}
	return live
}

// readRoster observes every session and deletes the rows of other nodes that have
// not changed for pruneAfterTTLs TTLs. It reports whether the roster could be
// read.
func (k *Keeper) readRoster(ctx context.Context) bool {
	started := time.Now()
	rows, err := k.Sessions(ctx)
	if err != nil {
		return false
	}
	k.mu.Lock()
	k.roster = rows
	k.previousRosterReadAt, k.rosterReadAt = k.rosterReadAt, started
	var prune []table.Write
	now := time.Now()
	for node, seen := range k.observations {
		if node != k.node && now.Sub(seen.since) >= pruneAfterTTLs*k.ttl {
			prune = append(prune, table.Write{Key: SessionKey(node), Expect: seen.version, Delete: true})
		}
	}
	k.mu.Unlock()
	for _, write := range prune {
		// A conflict means that another node already deleted the row or that
		// its owner has renewed it. After any other error the next read tries
		// again.
		_ = k.store.Commit(ctx, table.Txn{Nonce: newNonce(), Writes: []table.Write{write}})
	}
	return true
}

// nodesByPreference returns the nodes in the order in which they should acquire
// the role, the most preferred first.
func nodesByPreference(role string, nodes []string) []string {
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int {
		if c := cmp.Compare(preferenceScore(role, b), preferenceScore(role, a)); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return sorted
}

// preferenceScore returns the rendezvous hash of a role and a node.
func preferenceScore(role, node string) uint64 { return xxhash.Sum64String(role + "\x00" + node) }
