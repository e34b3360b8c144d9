package peer

import "currantladder.example/currantladder/internal/version/object"

// BurnDigest is one node's statistics of the requests that it answered.
type BurnDigest struct {
	Node   string       `json:"node"`
	Series []BurnSeries `json:"series"`
	// Dropped counts samples discarded because the limit on series was reached.
	Dropped int64 `json:"dropped,omitempty"`
}

// BurnSeries holds the statistics of one rank and account class.
type BurnSeries struct {
	Rank    string              `json:"rank"`
	Class   object.AccountClass `json:"class"`
	Windows []BurnWindow        `json:"windows"`
	Points  []BurnPoint         `json:"points,omitempty"`
}

// BurnWindow sums a sliding window that ends now.
type BurnWindow struct {
	Seconds int64 `json:"seconds"`
	Good    int64 `json:"good"`
	Total   int64 `json:"total"`
	// Bad counts, by cause, the requests that are in Total but not in Good.
	Bad []BurnCount `json:"bad,omitempty"`
	// Excluded counts, by cause, the requests that are not in Total.
	Excluded []BurnCount `json:"excluded,omitempty"`
	// FirstToken and InterToken are HDR histograms in the compressed V2
	// encoding; empty if nothing was recorded.
	FirstToken string `json:"firstToken,omitempty"`
	InterToken string `json:"interToken,omitempty"`
}

// BurnCount is the number of requests with one cause.
type BurnCount struct {
	Cause string `json:"cause"`
	Count int64  `json:"count"`
}

// BurnPoint counts the requests of one time bucket.
type BurnPoint struct {
	// Start is the beginning of the bucket, in seconds of the Unix epoch.
	Start int64 `json:"start"`
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}
