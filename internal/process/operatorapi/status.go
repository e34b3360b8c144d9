package operatorapi

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"currantladder.example/currantladder/internal/version/object"
	"currantladder.example/currantladder/internal/version/snapshot"
)

// maxNamedNodes limits how many nodes a condition's message names.
const maxNamedNodes = 10

// Reasons of the conditions.
const (
	reasonApplied   = "Applied"
	reasonPending   = "Pending"
	reasonNoNodes   = "NoNodes"
	reasonNotPlaced = "NotPlaced"
)

// withStatus returns a copy of the object with its status at the time now.
func withStatus(o *object.Object, placement *object.Placement, nodes []Node, transitions *transitionTracker, now time.Time) *object.Object {
	copied := *o
	conditions := []object.Condition{inForceCondition(o.Metadata.ResourceVersion, nodes)}
	if o.Kind == object.KindReplicaGroup {
		conditions = append(conditions, servingCondition(placement))
	}
	for i := range conditions {
		conditions[i].LastTransitionTime = transitions.observe(o.Key(), conditions[i], now)
	}
	copied.Status = &object.Status{ObservedGeneration: o.Metadata.Generation, Conditions: conditions, Placement: placement}
	return &copied
}

// inForceCondition returns the InForce condition, which is true only when every
// live node has applied the resource version.
func inForceCondition(resourceVersion int64, nodes []Node) object.Condition {
	condition := object.Condition{Type: object.ConditionInForce}
	var pending []string
	live := 0
	for _, node := range nodes {
		if !node.Status.Live {
			continue
		}
		live++
		if node.Status.AppliedRevision < resourceVersion {
			pending = append(pending, node.Name)
		}
	}
	switch {
	case live == 0:
		condition.Reason = reasonNoNodes
		condition.Message = "no live node is known: wait until nodes have registered"
	case len(pending) > 0:
		condition.Reason = reasonPending
		condition.Message = fmt.Sprintf("%d of %d live nodes have not applied revision %d: %s", len(pending), live, resourceVersion, joinNames(pending))
	default:
		condition.Status = true
		condition.Reason = reasonApplied
		condition.Message = fmt.Sprintf("all %d live nodes have applied revision %d", live, resourceVersion)
	}
	return condition
}

func joinNames(names []string) string {
	slices.Sort(names)
	if len(names) <= maxNamedNodes {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamedNodes], ", "), len(names)-maxNamedNodes)
}

// servingCondition returns the Serving condition, which follows the phase of the
// group's placement.
func servingCondition(placement *object.Placement) object.Condition {
	condition := object.Condition{Type: object.ConditionServing}
	if placement == nil {
		condition.Reason = reasonNotPlaced
		condition.Message = "no controller has placed the group yet"
		return condition
	}
	condition.Status = placement.Phase == object.PhaseServing
	condition.Reason = string(placement.Phase)
	condition.Message = strings.TrimPrefix(placement.Reason+": "+placement.Message, ": ")
	return condition
}

// nodeObjects returns the nodes as read-only objects, sorted by name.
func nodeObjects(nodes []Node) []*object.Object {
	objects := make([]*object.Object, 0, len(nodes))
	for _, node := range nodes {
		status := node.Status
		objects = append(objects, &object.Object{
			Kind:     object.KindNode,
			Metadata: object.Metadata{Name: node.Name},
			Spec:     &object.NodeSpec{},
			Status:   &object.Status{Node: &status},
		})
	}
	sortByName(objects)
	return objects
}

// objectsOfKind returns the snapshot's objects of a kind, sorted by name.
func objectsOfKind(s *snapshot.Snapshot, kind object.Kind) []*object.Object {
	var objects []*object.Object
	for key, o := range s.Objects {
		if key.Kind == kind {
			objects = append(objects, o)
		}
	}
	sortByName(objects)
	return objects
}

func sortByName(objects []*object.Object) {
	slices.SortFunc(objects, func(a, b *object.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
}

// transitionTracker records since when this node has seen each condition with its
// current status. It is safe for concurrent use.
type transitionTracker struct {
	mu          sync.Mutex
	byCondition map[transitionKey]transition
}

type transitionKey struct {
	object    object.Key
	condition object.ConditionType
}

type transition struct {
	status bool
	since  time.Time
}

func newTransitionTracker() *transitionTracker {
	return &transitionTracker{byCondition: make(map[transitionKey]transition)}
}

// observe records the status of a condition and returns the time since which
// it has had that status.
func (t *transitionTracker) observe(key object.Key, c object.Condition, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := transitionKey{object: key, condition: c.Type}
	last, known := t.byCondition[id]
	if !known || last.status != c.Status {
		last = transition{status: c.Status, since: now}
		t.byCondition[id] = last
	}
	return last.since
}

// forget removes the entries of a deleted object.
func (t *transitionTracker) forget(key object.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byCondition {
		if id.object == key {
			delete(t.byCondition, id)
		}
	}
}
