// Package snapshot holds the complete configuration of one revision in an
// immutable, indexed form for the request path. Lookups never block.
package snapshot

import (
	"maps"
	"slices"
	"sort"

	"currantladder.example/currantladder/internal/version/object"
)

// Snapshot is the configuration at one revision. It is immutable: Apply
// returns a new one. It is safe for concurrent use.
type Snapshot struct {
	// Revision is the log revision that the snapshot reflects.
	Revision int64
	Objects  map[object.Key]*object.Object
	// Placements holds the placements by group name.
	Placements map[string]*object.Placement

	accountsByKeyHash map[string]*Account
	accounts          map[string]*Account
	ranks             []*Rank  // most urgent first
	models            []string // sorted, without duplicates
}

// Account is a client account with its name.
type Account struct {
	Name string
	*object.ClientAccountSpec
}

// Rank is a rank with its name.
type Rank struct {
	Name string
	*object.RankSpec
}

// Group is a replica group with its placement, which is nil until the group has
// been placed.
type Group struct {
	Name      string
	Spec      *object.ReplicaGroupSpec
	Placement *object.Placement
}

// Empty returns the snapshot of revision 0.
func Empty() *Snapshot {
	return New(0, nil, nil)
}

// New returns a snapshot of the given objects and placements.
func New(revision int64, objects []*object.Object, placements []*object.Placement) *Snapshot {
	s := &Snapshot{
		Revision:   revision,
		Objects:    make(map[object.Key]*object.Object, len(objects)),
		Placements: make(map[string]*object.Placement, len(placements)),
	}
	for _, o := range objects {
		s.Objects[o.Key()] = o
	}
	for _, p := range placements {
		s.Placements[p.Group] = p
	}
	s.index()
	return s
}

// Apply returns the snapshot after the record. A record whose revision is not
// higher than the snapshot's leaves it unchanged.
func (s *Snapshot) Apply(record object.Record) *Snapshot {
	if record.Revision <= s.Revision {
		return s
	}
	next := &Snapshot{
		Revision:   record.Revision,
		Objects:    maps.Clone(s.Objects),
		Placements: maps.Clone(s.Placements),
	}
	for _, change := range record.Changes {
		next.applyChange(change)
	}
	next.index()
	return next
}

func (s *Snapshot) applyChange(change object.Change) {
	switch {
	case change.Object != nil:
		s.Objects[change.Object.Key()] = change.Object
	case change.Placement != nil:
		s.Placements[change.Placement.Group] = change.Placement
	case change.Deleted != nil:
		delete(s.Objects, *change.Deleted)
	case change.DeletedPlacement != "":
		delete(s.Placements, change.DeletedPlacement)
	}
}

// index builds the lookup structures from Objects.
func (s *Snapshot) index() {
	s.accounts = make(map[string]*Account)
	s.accountsByKeyHash = make(map[string]*Account)
	s.ranks = nil
	s.models = nil
	for key, o := range s.Objects {
		switch spec := o.Spec.(type) {
		case *object.ClientAccountSpec:
			account := &Account{Name: key.Name, ClientAccountSpec: spec}
			s.accounts[key.Name] = account
			for _, hash := range spec.KeyHashes {
				s.accountsByKeyHash[hash] = account
			}
		case *object.RankSpec:
			s.ranks = append(s.ranks, &Rank{Name: key.Name, RankSpec: spec})
		case *object.ReplicaGroupSpec:
			s.models = append(s.models, spec.Model)
		}
	}
	slices.Sort(s.models)
	s.models = slices.Compact(s.models)
	sort.Slice(s.ranks, func(i, j int) bool {
		if s.ranks[i].Priority != s.ranks[j].Priority {
			return s.ranks[i].Priority < s.ranks[j].Priority
		}
		return s.ranks[i].Name < s.ranks[j].Name
	})
}

// AccountByKeyHash returns the account whose bearer key has the SHA-256 hash, in
// lower-case hex, or nil.
func (s *Snapshot) AccountByKeyHash(hash string) *Account { return s.accountsByKeyHash[hash] }

// Account returns the named account, or nil.
func (s *Snapshot) Account(name string) *Account { return s.accounts[name] }

// Accounts returns all accounts by name. The map must not be changed.
func (s *Snapshot) Accounts() map[string]*Account { return s.accounts }

// Ranks returns all ranks, the most urgent first.
func (s *Snapshot) Ranks() []*Rank { return s.ranks }

// Rank returns the named rank, or nil.
func (s *Snapshot) Rank(name string) *Rank {
	for _, rank := range s.ranks {
		if rank.Name == name {
			return rank
		}
	}
	return nil
}

// Models returns the names of the models that groups serve, sorted. The slice
// must not be changed.
func (s *Snapshot) Models() []string { return s.models }

// HasModel reports whether a group is declared for the model.
func (s *Snapshot) HasModel(model string) bool {
	_, found := slices.BinarySearch(s.models, model)
	return found
}

// Service returns the named service, or nil.
func (s *Snapshot) Service(name string) *object.ServiceSpec {
	o := s.Objects[object.Key{Kind: object.KindService, Name: name}]
	if o == nil {
		return nil
	}
	return o.Spec.(*object.ServiceSpec)
}

// Host returns the declared spec of a host, or the zero spec.
func (s *Snapshot) Host(name string) object.HostSpec {
	o := s.Objects[object.Key{Kind: object.KindHost, Name: name}]
	if o == nil {
		return object.HostSpec{}
	}
	return *o.Spec.(*object.HostSpec)
}

// Groups returns all replica groups, sorted by name.
func (s *Snapshot) Groups() []Group {
	var groups []Group
	for key, o := range s.Objects {
		if spec, ok := o.Spec.(*object.ReplicaGroupSpec); ok {
			groups = append(groups, Group{Name: key.Name, Spec: spec, Placement: s.Placements[key.Name]})
		}
	}
	sort.Slice(groups, func(i, j int) bool { return groups[i].Name < groups[j].Name })
	return groups
}
