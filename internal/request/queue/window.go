package queue

import "time"

// FloorWindow is the length of the sliding window in which a backlogged rank
// gets at least its floor of the tokens.
const FloorWindow = 10 * time.Second

const (
	bucketWidth = 250 * time.Millisecond
	bucketCount = int64(FloorWindow / bucketWidth)
)

// slidingWindow sums amounts, such as tokens or nanoseconds, over the last
// FloorWindow.
type slidingWindow struct {
	buckets [bucketCount]int64
	// newestBucket is the number of the newest bucket, counted from the Unix
	// epoch.
	newestBucket int64
	sum          int64
}

// bucketOf returns the number of the bucket that t falls into.
func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// advance clears the buckets that are now outside the window.
func (w *slidingWindow) advance(now time.Time) {
	current := bucketOf(now)
	if current-w.newestBucket >= bucketCount {
		*w = slidingWindow{newestBucket: current}
		return
	}
	for w.newestBucket < current {
		w.newestBucket++
		bucket := &w.buckets[w.newestBucket%bucketCount]
		w.sum -= *bucket
		*bucket = 0
	}
}

// add spreads the amount evenly over the time from start to now.
func (w *slidingWindow) add(amount int64, start, now time.Time) {
	w.advance(now)
	first := max(bucketOf(start), w.newestBucket-bucketCount+1)
	count := w.newestBucket - first + 1
	if count < 1 {
		first, count = w.newestBucket, 1
	}
	perBucket, remainder := amount/count, amount%count
	for b := first; b <= w.newestBucket; b++ {
		part := perBucket
		if b == w.newestBucket {
			part += remainder
		}
		w.buckets[b%bucketCount] += part
	}
	w.sum += amount
}

// sumSince returns the sum since the given time, at most over the window.
func (w *slidingWindow) sumSince(start, now time.Time) int64 {
	w.advance(now)
	first := bucketOf(start)
	if first <= w.newestBucket-bucketCount+1 {
		return w.sum
	}
	var sum int64
	for b := first; b <= w.newestBucket; b++ {
		sum += w.buckets[b%bucketCount]
	}
	return sum
}
