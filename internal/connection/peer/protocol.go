// Package peer is the protocol between entry nodes: HTTP with JSON, with the
// shared peer key as bearer token.
//
//	POST /peer/probe           Probe           -> 200 Probe
//	POST /peer/generate        HomeRequest     -> 200 SSE of Frame
//	GET  /peer/log?after=REV                   -> 200 []object.Record, 410 if compacted
//	GET  /peer/snapshot                        -> 200 SnapshotBody
//	POST /peer/shares/release  ReleaseRequest  -> 200 ReleaseReply
//	GET  /peer/burn                            -> 200 BurnDigest
//	GET  /peer/explain?request=ID | ?group=NAME -> 200 []Step
package peer

import (
	"encoding/binary"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/object"
)

// Digest is what one node tells of itself. Digests are passed on by probes;
// the one with the highest Incarnation, then Seq, replaces older ones.
type Digest struct {
	Node          string `json:"node"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Address       string `json:"address"`
	// Incarnation is the epoch of the node's session row.
	Incarnation int64 `json:"incarnation"`
	Seq         int64 `json:"seq"`
	// AppliedRevision is the configuration revision in force at the node.
	AppliedRevision int64 `json:"appliedRevision"`
	Ready           bool  `json:"ready"`
	Leaving         bool  `json:"leaving,omitempty"`
	// Load holds one line for each model that the node is a home for.
	Load []PoolLoad `json:"load,omitempty"`
	// Suspects are crash suspicions that the node has observed.
	Suspects []Suspect `json:"suspects,omitempty"`
}

// PoolLoad is the load of one model's groups at their home node.
type PoolLoad struct {
	Model string `json:"model"`
	Slots int    `json:"slots"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Suspect is the suspicion against one request fingerprint at one node.
type Suspect struct {
	Fingerprint uint64  `json:"fingerprint"`
	Weight      float64 `json:"weight"`
	// AgeMillis is the time since the last crash that it was part of.
	AgeMillis int64 `json:"ageMillis"`
}

// Probe carries the sender's own digest, a bounded number of digests of its
// region, the beats of all its live members and a few region summaries. Between
// regions it carries the sender's digest and summaries alone.
type Probe struct {
	// Digests holds the sender's own digest first.
	Digests []Digest `json:"digests"`
	// Revision is the highest configuration revision in force at a member.
	Revision int64 `json:"revision,omitempty"`
	// Beats is the result of AppendBeat for each live member.
	Beats   []byte          `json:"beats,omitempty"`
	Regions []RegionSummary `json:"regions,omitempty"`
}

// BeatBytes is the length of one beat.
const BeatBytes = 9

// UnknownLag stands for a lag that is too large for a beat.
const UnknownLag = math.MaxUint8

// Beat is the news of one member.
type Beat struct {
	// Key is the member's BeatKey.
	Key uint32
	// Seq is the member's sequence number; its lower 32 bits are carried.
	Seq int64
	// Lag is how far the revision in force at the member is behind
	// Probe.Revision, up to UnknownLag.
	Lag int64
}

// AppendBeat appends a beat to those of a probe.
func AppendBeat(beats []byte, b Beat) []byte {
	beats = binary.BigEndian.AppendUint32(beats, b.Key)
	beats = binary.BigEndian.AppendUint32(beats, uint32(b.Seq))
	return append(beats, uint8(min(max(b.Lag, 0), UnknownLag)))
}

// ReadBeats returns the beats of a probe.
func ReadBeats(beats []byte) []Beat {
	read := make([]Beat, 0, len(beats)/BeatBytes)
	for ; len(beats) >= BeatBytes; beats = beats[BeatBytes:] {
		read = append(read, Beat{
			Key: binary.BigEndian.Uint32(beats),
			Seq: int64(binary.BigEndian.Uint32(beats[4:])),
			Lag: int64(beats[8]),
		})
	}
	return read
}

// BeatKey identifies one process of a node in beats. Two members of a region
// have the same key once in about four million regions of 47 nodes; a dead one
// of them would then count as live.
func (d Digest) BeatKey() uint32 {
	return uint32(xxhash.Sum64String(d.Node + "\x00" + strconv.FormatInt(d.Incarnation, 10)))
}

// RegionSummary tells other regions of one region's nodes.
type RegionSummary struct {
	Region string `json:"region"`
	// AgeMillis is the time since the summary was made.
	AgeMillis int64 `json:"ageMillis"`
	// Nodes counts live nodes.
	Nodes int `json:"nodes"`
	// MinApplied is the lowest configuration revision in force at a live node.
	MinApplied int64 `json:"minApplied"`
	// Lagging names, up to a bound, live nodes that are at MinApplied while
	// another node is ahead.
	Lagging []string   `json:"lagging,omitempty"`
	Load    []PoolLoad `json:"load,omitempty"`
}

// HomeRequest hands a request from its entry node to a home node.
type HomeRequest struct {
	RequestID   string `json:"requestID"`
	Account     string `json:"account"`
	Rank        string `json:"rank"`
	Model       string `json:"model"`
	Prompt      string `json:"prompt"`
	MaxTokens   int    `json:"maxTokens"`
	CostTokens  int64  `json:"costTokens"`
	Fingerprint uint64 `json:"fingerprint"`
	// RemainingMillis is the time left until the caller's deadline; 0 means
	// that there is none.
	RemainingMillis int64    `json:"remainingMillis,omitempty"`
	ResumeIndex     int      `json:"resumeIndex,omitempty"`
	Delivered       string   `json:"delivered,omitempty"`
	Avoid           []string `json:"avoid,omitempty"`
	// Resumed is true for a request that was already queued or started
	// elsewhere.
	Resumed bool `json:"resumed,omitempty"`
	// Isolate asks for a group that runs nothing else, for a crash suspect.
	Isolate bool `json:"isolate,omitempty"`
}

// ReleaseRequest asks a node to give up part of its share of a cap.
type ReleaseRequest struct {
	Account string `json:"account"`
	Gainer  string `json:"gainer"`
	// Holder identifies the gainer's process; the part moves to it alone.
	Holder          string  `json:"holder"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// BurstTokens is the bucket depth that the gainer needs beyond what moves
	// along with the rate.
	BurstTokens float64 `json:"burstTokens,omitempty"`
	InFlight    int     `json:"inFlight"`
}

// ReleaseReply tells what was moved in the share row; zeros where nothing was.
type ReleaseReply struct {
	TokensPerSecond float64 `json:"tokensPerSecond"`
	InFlight        int     `json:"inFlight"`
}

// SnapshotBody is the whole configuration of one revision.
type SnapshotBody struct {
	Revision   int64               `json:"revision"`
	Objects    []*object.Object    `json:"objects"`
	Placements []*object.Placement `json:"placements"`
}

// Step is one recorded decision on the way of a request.
type Step struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Reason  string    `json:"reason"`
	Message string    `json:"message"`
}

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

// Frame is one event of a home node's answer. Exactly one field is set.
type Frame struct {
	Assigned *Assigned       `json:"assigned,omitempty"`
	Chunk    *endpoint.Chunk `json:"chunk,omitempty"`
	End      *End            `json:"end,omitempty"`
}

// Assigned tells that the request got a slot.
type Assigned struct {
	Group      string `json:"group"`
	WaitMillis int64  `json:"waitMillis"`
}

// EndCause tells why a home node stopped before the answer was whole.
type EndCause string

// Causes of an early end.
const (
	// EndRefused: the home refused the request; it did not run there.
	EndRefused EndCause = "refused"
	// EndFailed: the group failed; the entry may resume elsewhere.
	EndFailed EndCause = "failed"
	// EndPreempted: urgent work took the slot; the entry offers the rest of
	// the request again, which costs no attempt.
	EndPreempted EndCause = "preempted"
)

// End is the last frame of an answer that is not whole.
type End struct {
	Cause   EndCause       `json:"cause"`
	Group   string         `json:"group,omitempty"`
	Refusal *refusal.Error `json:"refusal"`
	// Crashed is true when the group's endpoint died with the request.
	Crashed bool `json:"crashed,omitempty"`
}
