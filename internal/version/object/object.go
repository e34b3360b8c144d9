// Package object defines the resources that operators declare (replica groups,
// client accounts, ranks, services and hosts), the read-only node resource, and
// the records of the configuration log. Every resource has metadata, a typed spec
// and a status with conditions. Nothing in the package blocks.
package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// Kind names a resource type.
type Kind string

// The resource kinds. KindNode is read-only: nodes register themselves.
const (
	KindReplicaGroup  Kind = "ReplicaGroup"
	KindClientAccount Kind = "ClientAccount"
	KindRank          Kind = "Rank"
	KindService       Kind = "Service"
	KindHost          Kind = "Host"
	KindNode          Kind = "Node"
)

// Kinds lists the kinds that operators can write, in a stable order.
var Kinds = []Kind{KindReplicaGroup, KindClientAccount, KindRank, KindService, KindHost}

// Metadata identifies an object and its versions.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the configuration revision of the last accepted
	// change; 0 on an object that is not stored yet. A write that names a
	// ResourceVersion succeeds only while it is still current.
	ResourceVersion int64 `json:"resourceVersion,omitempty"`
	// Generation counts changes of the spec, from 1.
	Generation int64 `json:"generation,omitempty"`
}

// Spec is the declared part of an object.
type Spec interface {
	// Kind returns the kind that the spec belongs to.
	Kind() Kind
	// Validate returns every invalid field of the spec, not only the first.
	Validate() []FieldError
}

// Object is one resource as it is stored, transmitted and watched.
type Object struct {
	Kind     Kind     `json:"kind"`
	Metadata Metadata `json:"metadata"`
	Spec     Spec     `json:"spec"`
	Status   *Status  `json:"status,omitempty"`
}

// Key identifies an object across kinds.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key in the form "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Key returns the object's key.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Metadata.Name} }

// FieldError describes one invalid field and how to correct it.
type FieldError struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the error as "field: message".
func (f FieldError) String() string { return f.Field + ": " + f.Message }

// ConditionType names an aspect of an object's state.
type ConditionType string

// The condition types.
const (
	// ConditionInForce is true when every live node has applied the object's
	// resource version. Its message names the nodes that have not.
	ConditionInForce ConditionType = "InForce"
	// ConditionServing is true when a replica group serves requests.
	ConditionServing ConditionType = "Serving"
)

// Condition is one observed aspect of an object.
type Condition struct {
	Type               ConditionType `json:"type"`
	Status             bool          `json:"status"`
	Reason             string        `json:"reason"`
	Message            string        `json:"message"`
	LastTransitionTime time.Time     `json:"lastTransitionTime"`
}

// Status is the observed part of an object.
type Status struct {
	ObservedGeneration int64       `json:"observedGeneration"`
	Conditions         []Condition `json:"conditions,omitempty"`
	Placement          *Placement  `json:"placement,omitempty"`
	Node               *NodeStatus `json:"node,omitempty"`
}

// NodeStatus is the observed state of one entry node.
type NodeStatus struct {
	Region          string `json:"region"`
	FailureDomain   string `json:"failureDomain"`
	PeerAddress     string `json:"peerAddress"`
	AppliedRevision int64  `json:"appliedRevision"`
	Live            bool   `json:"live"`
}

// Condition returns the condition of the given type, or nil.
func (s *Status) Condition(t ConditionType) *Condition {
	if s == nil {
		return nil
	}
	for i := range s.Conditions {
		if s.Conditions[i].Type == t {
			return &s.Conditions[i]
		}
	}
	return nil
}

// NewSpec returns an empty spec for the kind, or an error for an unknown kind.
func NewSpec(kind Kind) (Spec, error) {
	switch kind {
	case KindReplicaGroup:
		return &ReplicaGroupSpec{}, nil
	case KindClientAccount:
		return &ClientAccountSpec{}, nil
	case KindRank:
		return &RankSpec{}, nil
	case KindService:
		return &ServiceSpec{}, nil
	case KindHost:
		return &HostSpec{}, nil
	case KindNode:
		return &NodeSpec{}, nil
	default:
		return nil, fmt.Errorf("kind %q is unknown: use one of %v", kind, Kinds)
	}
}

// rawObject delays decoding of the spec until the kind is known.
type rawObject struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// UnmarshalJSON decodes an object. Unknown fields are errors.
func (o *Object) UnmarshalJSON(data []byte) error {
	var raw rawObject
	if err := decodeStrict(data, &raw); err != nil {
		return fmt.Errorf("object: %w", err)
	}
	spec, err := NewSpec(raw.Kind)
	if err != nil {
		return err
	}
	if len(raw.Spec) > 0 {
		if err := decodeStrict(raw.Spec, spec); err != nil {
			return fmt.Errorf("%s/%s: spec: %w", raw.Kind, raw.Metadata.Name, err)
		}
	}
	*o = Object{Kind: raw.Kind, Metadata: raw.Metadata, Spec: spec, Status: raw.Status}
	return nil
}

func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
