package queue

import "time"

// Window is the length of the sliding window of floors.
const Window = 10 * time.Second

const (
	bucketWidth = 250 * time.Millisecond
	bucketCount = int64(Window / bucketWidth)
)

// window counts tokens over the last Window.
type window struct {
	buckets [bucketCount]int64
	// last is the number of the newest bucket, counted from the Unix epoch.
	last int64
	sum  int64
}

func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// advance drops buckets that have left the window.
func (w *window) advance(now time.Time) {
	current := bucketOf(now)
	if current-w.last >= bucketCount {
		*w = window{last: current}
		return
	}
	for w.last < current {
		w.last++
		slot := &w.buckets[w.last%bucketCount]
		w.sum -= *slot
		*slot = 0
	}
}

// add spreads tokens evenly over the time from start to now.
func (w *window) add(tokens int64, start, now time.Time) {
	w.advance(now)
	first := max(bucketOf(start), w.last-bucketCount+1)
	count := w.last - first + 1
	if count < 1 {
		first, count = w.last, 1
	}
	each, rest := tokens/count, tokens%count
	for b := first; b <= w.last; b++ {
		part := each
		if b == w.last {
			part += rest
		}
		w.buckets[b%bucketCount] += part
	}
	w.sum += tokens
}

// since returns the tokens since the given time, at most over the window.
func (w *window) since(start, now time.Time) int64 {
	w.advance(now)
	first := bucketOf(start)
	if first <= w.last-bucketCount+1 {
		return w.sum
	}
	var sum int64
	for b := first; b <= w.last; b++ {
		sum += w.buckets[b%bucketCount]
	}
	return sum
}
