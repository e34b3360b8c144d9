package fleet

import "maps"

// groupKey names one group. A name may be used again with a higher epoch.
type groupKey struct {
	name  string
	epoch int64
}

// groupPlace is a place in a group, by rank.
type groupPlace struct {
	group groupKey
	rank  int
}

func (m Membership) place() groupPlace {
	return groupPlace{group: groupKey{m.Name, m.Epoch}, rank: m.Rank}
}

// Departures records the places in groups whose hosts have registered outside the group
// since. The head of such a group may be registered as open for as long as the leader
// cannot reach it. A registration that has lapsed is no departure, because a host that is
// partitioned from the store goes on working. It is not safe for concurrent use.
type Departures struct {
	// last are the memberships of hosts as last registered, by host ID.
	last map[string]Membership
	left map[groupPlace]bool
}

// NewDepartures returns a record without any departure.
func NewDepartures() *Departures {
	return &Departures{last: map[string]Membership{}, left: map[groupPlace]bool{}}
}

// Registered records the membership that a host has registered.
func (d *Departures) Registered(h *Host) {
	if former := d.last[h.ID]; former.Name != "" && former.place() != h.Group.place() {
		d.left[former.place()] = true
	}
	if h.Group.Name == "" {
		delete(d.last, h.ID)
		return
	}
	d.last[h.ID] = h.Group
}

// Mark sets Deserted of the heads of groups in which a place was left and is held by no
// registered host, and forgets groups without a registered host. It replaces these heads
// in hosts, the registered ones, by copies. size returns the number of hosts of a head's
// group.
func (d *Departures) Mark(hosts []*Host, size func(head *Host) int) {
	registered := map[groupKey]bool{}
	vacant := maps.Clone(d.left)
	for _, h := range hosts {
		registered[h.Group.place().group] = true
		delete(vacant, h.Group.place())
	}
	maps.DeleteFunc(d.left, func(p groupPlace, _ bool) bool { return !registered[p.group] })
	maps.DeleteFunc(d.last, func(_ string, m Membership) bool { return !registered[m.place().group] })
	if len(vacant) == 0 {
		return
	}
	for i, h := range hosts {
		if h.Group.Name != "" && h.Group.Rank == 0 && hasVacancy(vacant, h, size(h)) {
			deserted := *h
			deserted.Deserted = true
			hosts[i] = &deserted
		}
	}
}

// hasVacancy reports whether a place in the head's group is vacant.
func hasVacancy(vacant map[groupPlace]bool, head *Host, size int) bool {
	place := head.Group.place()
	for place.rank = 1; place.rank < size; place.rank++ {
		if vacant[place] {
			return true
		}
	}
	return false
}
