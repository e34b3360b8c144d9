package soak

import (
	"slices"
	"sync"
	"time"
)

// disturbanceMargin is how long after its end a disturbance still excuses what fails.
const disturbanceMargin = 500 * time.Millisecond

// disturbance is a time in which a node or host was killed, stopped by a signal or cut off. A
// host that pauses, planned stops, configurations and faults of the store are none.
type disturbance struct {
	subject  string
	from, to time.Time
}

// disturbances is safe for concurrent use. The zero value is empty.
type disturbances struct {
	mu   sync.Mutex
	list []*disturbance
}

// begin records that a disturbance begins, until the returned function is called.
func (d *disturbances) begin(subject string) (end func()) {
	entry := &disturbance{subject: subject, from: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, entry)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		entry.to = time.Now()
	}
}

// during reports whether one of the subjects was disturbed in a span of time.
func (d *disturbances) during(from, to time.Time, subjects ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.list, func(e *disturbance) bool {
		ended := !e.to.IsZero() && e.to.Add(disturbanceMargin).Before(from)
		return slices.Contains(subjects, e.subject) && !ended && e.from.Before(to)
	})
}
