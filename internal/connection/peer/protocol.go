// Package peer implements the protocol between entry nodes: HTTP with JSON and
// the shared peer key as bearer token. A node calls its peers through Client and
// serves them with NewServer. Client calls block until the answer is read or
// their context ends.
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
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/connection/endpoint"
	"currantladder.example/currantladder/internal/request/refusal"
	"currantladder.example/currantladder/internal/version/object"
)

// Digest is one node's report of its own state. Nodes forward digests in probes;
// the digest with the highest Incarnation, then Seq, replaces older ones.
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
	// Load has one entry for each model that the node is a home for.
	Load []PoolLoad `json:"load,omitempty"`
	// Suspects are the crash suspects that the node has observed.
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

// Suspect is a request fingerprint that one node suspects of causing crashes.
type Suspect struct {
	Fingerprint uint64  `json:"fingerprint"`
	Weight      float64 `json:"weight"`
	// AgeMillis is the time since the last crash that involved the fingerprint.
	AgeMillis int64 `json:"ageMillis"`
}

// Probe is both the request and the reply of a probe exchange. The reply
// carries the digests of the region that are newer than Known, so that each
// version of a digest reaches a node about once.
type Probe struct {
	// Region limits the digests to nodes of the sender's region.
	Region string `json:"region"`
	// Known maps a node to the version of its digest that the sender has.
	Known map[string]DigestVersion `json:"known,omitempty"`
	// Digests starts with the sender's own digest.
	Digests []Digest `json:"digests"`
	// Regions has one summary for each region known to the sender.
	Regions []RegionSummary `json:"regions,omitempty"`
	// Suspected maps each node that did not answer the sender's own probe to
	// the version of its digest that the sender had. The receiver probes these
	// nodes itself.
	Suspected map[string]DigestVersion `json:"suspected,omitempty"`
}

// DigestVersion orders the digests of one node.
type DigestVersion struct {
	Incarnation int64 `json:"i"`
	Seq         int64 `json:"s"`
}

// Newer reports whether v replaces other.
func (v DigestVersion) Newer(other DigestVersion) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Seq > other.Seq
}

// Version returns the digest's version.
func (d Digest) Version() DigestVersion {
	return DigestVersion{Incarnation: d.Incarnation, Seq: d.Seq}
}

// RegionSummary is the state of one region's nodes as sent to other regions.
type RegionSummary struct {
	Region string `json:"region"`
	// AgeMillis is the time since the summary was made.
	AgeMillis int64 `json:"ageMillis"`
	// Nodes counts live nodes.
	Nodes int `json:"nodes"`
	// MinApplied is the lowest configuration revision in force at a live node.
	MinApplied int64 `json:"minApplied"`
	// Lagging lists, up to a limit, live nodes that are at MinApplied while
	// another node is ahead.
	Lagging []string   `json:"lagging,omitempty"`
	Load    []PoolLoad `json:"load,omitempty"`
}

// HomeRequest passes a request from its entry node to a home node.
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
	// Isolate asks for a group that runs nothing else. It is set for a crash
	// suspect.
	Isolate bool `json:"isolate,omitempty"`
}

// ReleaseRequest asks a node to transfer part of its share of a cap.
type ReleaseRequest struct {
	Account string `json:"account"`
	// Recipient is the node that receives the part.
	Recipient string `json:"gainer"`
	// Holder identifies the recipient's process; only this process receives the
	// part.
	Holder          string  `json:"holder"`
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// BurstTokens is the bucket depth that the recipient needs in addition to the
	// depth that is transferred with the rate.
	BurstTokens float64 `json:"burstTokens,omitempty"`
	InFlight    int     `json:"inFlight"`
	// Needed is true if the recipient's callers already request it. A node above
	// its even share then transfers even what its own callers could use.
	Needed bool `json:"needed,omitempty"`
}

// ReleaseReply reports what was transferred in the share row; all fields are
// zero if nothing was.
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

// Step is one recorded decision about a request or a replica group.
type Step struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Reason  string    `json:"reason"`
	Message string    `json:"message"`
}

// Frame is one event of a home node's answer. Exactly one field is set.
type Frame struct {
	Assigned *Assigned       `json:"assigned,omitempty"`
	Chunk    *endpoint.Chunk `json:"chunk,omitempty"`
	End      *End            `json:"end,omitempty"`
}

// Assigned reports that the request got a slot.
type Assigned struct {
	Group      string `json:"group"`
	WaitMillis int64  `json:"waitMillis"`
}

// EndCause is the reason why a home node ended an answer before it was
// complete.
type EndCause string

// Causes of an early end.
const (
	// EndRefused: the home refused the request; it did not run there.
	EndRefused EndCause = "refused"
	// EndFailed: the group failed; the entry may resume elsewhere.
	EndFailed EndCause = "failed"
	// EndPreempted: urgent work took the slot; the entry submits the remainder
	// of the request again, which does not count as an attempt.
	EndPreempted EndCause = "preempted"
)

// End is the last frame of an incomplete answer.
type End struct {
	Cause   EndCause       `json:"cause"`
	Group   string         `json:"group,omitempty"`
	Refusal *refusal.Error `json:"refusal"`
	// Status and RetryAfterMillis are the parts of Refusal that callers get as
	// HTTP status and header; the JSON form of Refusal omits them.
	Status           int   `json:"status"`
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
	// Crashed is true if the group's endpoint crashed during the request.
	Crashed bool `json:"crashed,omitempty"`
}

// NewEnd returns the end of an answer for the reason given in refused.
func NewEnd(cause EndCause, group string, refused *refusal.Error) *End {
	return &End{
		Cause:            cause,
		Group:            group,
		Refusal:          refused,
		Status:           refused.Status,
		RetryAfterMillis: refused.RetryAfter.Milliseconds(),
	}
}

// restoreRefusal sets the fields that the JSON form of the refusal omits. An
// end without a usable refusal gets one of kind incomplete.
func (e *End) restoreRefusal() {
	if !e.hasUsableRefusal() {
		e.Refusal = refusal.NewMayHaveRun(refusal.KindIncomplete, http.StatusBadGateway, "the home node ended the answer without a reason; send the request again")
		return
	}
	e.Refusal.Status = e.Status
	e.Refusal.RetryAfter = time.Duration(max(e.RetryAfterMillis, 0)) * time.Millisecond
}

// hasUsableRefusal reports whether the refusal has a kind, an error status and
// a valid Ran value.
func (e *End) hasUsableRefusal() bool {
	const minStatus, maxStatus = http.StatusBadRequest, 599
	if e.Refusal == nil || e.Refusal.Kind == "" || e.Status < minStatus || e.Status > maxStatus {
		return false
	}
	return e.Refusal.Ran == refusal.RanNo || e.Refusal.Ran == refusal.RanUnknown
}
