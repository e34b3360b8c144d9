package groupcontrol

// queue holds keys to sync in the order in which they came, each at most once.
type queue struct {
	keys   []string
	queued map[string]bool
}

func newQueue() *queue { return &queue{queued: map[string]bool{}} }

func (q *queue) add(key string) {
	if !q.queued[key] {
		q.queued[key] = true
		q.keys = append(q.keys, key)
	}
}

func (q *queue) next() (string, bool) {
	if len(q.keys) == 0 {
		return "", false
	}
	key := q.keys[0]
	q.keys = q.keys[1:]
	delete(q.queued, key)
	return key, true
}
