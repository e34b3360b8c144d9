package groupcontrol

// queue is a FIFO queue of group names that holds each name at most once.
type queue struct {
	names  []string
	queued map[string]bool
}

func newQueue() *queue { return &queue{queued: map[string]bool{}} }

func (q *queue) add(name string) {
	if !q.queued[name] {
		q.queued[name] = true
		q.names = append(q.names, name)
	}
}

func (q *queue) next() (string, bool) {
	if len(q.names) == 0 {
		return "", false
	}
	name := q.names[0]
	q.names = q.names[1:]
	delete(q.queued, name)
	return name, true
}
