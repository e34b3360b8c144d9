package fleet

import (
	"maps"
	"time"
)

const (
	// endedLifeTTL is how long the end of a host's life is remembered. It is longer
	// than a copy of the store is old.
	endedLifeTTL = 2 * time.Minute
	// maxEndedLives limits the remembered ends. Beyond it further ones are not kept.
	maxEndedLives = 4096
)

// EndedLives records the hosts that this node has seen leave, so that an older copy of
// the host list does not restore them. It is not safe for concurrent use.
type EndedLives struct{ lives map[string]endedLife }

type endedLife struct {
	started time.Time
	// leaving is true if the host was registered as leaving, and removed if its
	// registration was removed.
	leaving, removed bool
	at               time.Time
}

// NewEndedLives returns a memory without any host.
func NewEndedLives() *EndedLives { return &EndedLives{lives: map[string]endedLife{}} }

// Registered records the registration of a host, which may be leaving.
func (e *EndedLives) Registered(h *Host, now time.Time) {
	if h.State == HostLeaving {
		e.record(h, false, now)
		return
	}
	delete(e.lives, h.ID)
}

// Removed records that the registration of a host is gone.
func (e *EndedLives) Removed(h *Host, now time.Time) { e.record(h, true, now) }

func (e *EndedLives) record(h *Host, removed bool, now time.Time) {
	maps.DeleteFunc(e.lives, func(_ string, l endedLife) bool { return now.Sub(l.at) >= endedLifeTTL })
	former, known := e.lives[h.ID]
	if !known && len(e.lives) >= maxEndedLives {
		return
	}
	leaving := h.State == HostLeaving || known && former.leaving && !h.Started.After(former.started)
	e.lives[h.ID] = endedLife{started: h.Started, leaving: leaving, removed: removed, at: now}
}

// LifeState is what is known of the life of a host in an older copy.
type LifeState int

// The states of a life.
const (
	// LifeOpen is a life that has not ended as far as this node knows.
	LifeOpen LifeState = iota
	// LifeLeaving is one whose host was registered as leaving.
	LifeLeaving
	// LifeRemoved is one whose registration was removed.
	LifeRemoved
)

// State returns what this node has seen of the life in which the host was when it
// wrote the record.
func (e *EndedLives) State(h *Host) LifeState {
	life, known := e.lives[h.ID]
	switch {
	case !known || h.Started.After(life.started):
		return LifeOpen
	case life.removed:
		return LifeRemoved
	case life.leaving:
		return LifeLeaving
	}
	return LifeOpen
}
