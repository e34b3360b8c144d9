package poison

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// frequencyHalfLife is the time after which an answered request counts half.
	frequencyHalfLife = 10 * time.Second
	// maxFrequentParts and maxFrequentRequests limit the traits whose frequency is
	// known; the least recently answered ones are forgotten.
	maxFrequentParts    = 4096
	maxFrequentRequests = 1024
	// unknownCount is added to each count, so that a trait that was never answered
	// has a share above zero.
	unknownCount = 0.5
)

// decayingCount is a count that halves every frequencyHalfLife.
type decayingCount struct {
	value float64
	at    time.Time
}

func (c decayingCount) get(now time.Time) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.at))/float64(frequencyHalfLife))
}

func (c decayingCount) plusOne(now time.Time) decayingCount {
	return decayingCount{c.get(now) + 1, now}
}

// frequencies estimates which share of the answered requests has a trait. It uses a
// bounded amount of memory.
type frequencies struct {
	parts    *lru.Cache[Trait, decayingCount]
	requests *lru.Cache[Trait, decayingCount]
	total    map[string]decayingCount
}

func newFrequencies() *frequencies {
	return &frequencies{parts: newCache(maxFrequentParts), requests: newCache(maxFrequentRequests), total: map[string]decayingCount{}}
}

func newCache(size int) *lru.Cache[Trait, decayingCount] {
	cache, err := lru.New[Trait, decayingCount](size)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return cache
}

// add counts an answered request of a class.
func (f *frequencies) add(class string, r Request, now time.Time) {
	f.total[class] = f.total[class].plusOne(now)
	for _, part := range r.Parts {
		addTo(f.parts, part, now)
	}
	addTo(f.requests, r.Whole, now)
}

func addTo(cache *lru.Cache[Trait, decayingCount], trait Trait, now time.Time) {
	count, _ := cache.Get(trait)
	cache.Add(trait, count.plusOne(now))
}

// lastAnswered returns when a whole request was last answered, or false if that is not
// known.
func (f *frequencies) lastAnswered(whole Trait) (time.Time, bool) {
	count, known := f.requests.Peek(whole)
	return count.at, known
}

// share returns the estimated share of the answered requests of a class that have
// the trait, above 0 and at most 1.
func (f *frequencies) share(class string, trait Trait, now time.Time) float64 {
	count, known := f.parts.Peek(trait)
	if !known {
		count, _ = f.requests.Peek(trait)
	}
	return min((count.get(now)+unknownCount)/(f.total[class].get(now)+1), 1)
}
