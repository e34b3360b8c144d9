package peer

import "currantladder.example/currantladder/internal/version/object"

// BurnDigest is what one node has observed of the requests that it answered.
type BurnDigest struct {
	Node   string       `json:"node"`
	Series []BurnSeries `json:"series"`
	// Dropped counts samples beyond the bound of series.
	Dropped int64 `json:"dropped,omitempty"`
}

// BurnSeries is the part of one rank and account class.
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
	// Bad counts the causes of what is in Total and not in Good.
	Bad []BurnCount `json:"bad,omitempty"`
	// Excluded counts the causes of what is not in Total.
	Excluded []BurnCount `json:"excluded,omitempty"`
	// FirstToken and InterToken are HDR histograms in the compressed V2
	// encoding; empty where nothing was recorded.
	FirstToken string `json:"firstToken,omitempty"`
	InterToken string `json:"interToken,omitempty"`
}

// BurnCount is the number of requests that ended for one cause.
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
