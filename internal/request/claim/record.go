package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"currantladder.example/currantladder/internal/connection/table"
	"currantladder.example/currantladder/internal/request/refusal"
)

// MaxAnswerBytes is the size of the largest body that is recorded. A larger
// answer reaches the caller, but a repeat is refused with the information that
// the call ran.
const MaxAnswerBytes = 64 << 10

// keyHashBytes is the length of the truncated hash of the idempotency key in a
// row key.
const keyHashBytes = 16

// stage is the progress of a claimed call.
type stage string

const (
	// stageClaimed: the call may be running or may have run.
	stageClaimed stage = "claimed"
	// stageAnswered: the call ran and its answer is recorded.
	stageAnswered stage = "answered"
	// stageNotKept: the call ran and its answer was too large to record.
	stageNotKept stage = "not_kept"
)

// record is the value of a claim row.
type record struct {
	Stage       stage     `json:"stage"`
	Fingerprint uint64    `json:"fingerprint"`
	Nonce       string    `json:"nonce"`
	ClaimedAt   time.Time `json:"taken"`
	Answer      *Answer   `json:"answer,omitempty"`
}

// rowKey returns the row key of a call's claim. It is unambiguous because names
// of services and accounts contain no slash.
func rowKey(call Call) string {
	sum := sha256.Sum256([]byte(call.Key))
	return table.PrefixClaim + call.Service + "/" + call.Account + "/" + hex.EncodeToString(sum[:keyHashBytes])
}

func encode(r record) (json.RawMessage, error) { return json.Marshal(r) }

func decode(row table.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, fmt.Errorf("claim %s: %w", row.Key, err)
	}
	return r, nil
}

// answeredRecord returns the record that replaces the claim after the call has
// been answered.
func answeredRecord(handle *Handle, answer Answer) record {
	r := record{Stage: stageAnswered, Fingerprint: handle.Call.Fingerprint, Nonce: handle.Nonce, ClaimedAt: handle.ClaimedAt, Answer: &answer}
	if len(answer.Body) > MaxAnswerBytes {
		r.Stage, r.Answer = stageNotKept, nil
	}
	return r
}

// outcomeOf returns the outcome of a call whose key is claimed by the record of
// another attempt.
func outcomeOf(r record, call Call) (Outcome, *refusal.Error) {
	if r.Fingerprint != call.Fingerprint {
		return Outcome{}, refusal.New(refusal.KindBadRequest, http.StatusUnprocessableEntity, "the idempotency key was used for another call; use a new key for each call")
	}
	switch r.Stage {
	case stageAnswered:
		return Outcome{Replay: r.Answer}, nil
	case stageNotKept:
		return Outcome{}, refusal.NewMayHaveRun(refusal.KindAlreadyClaimed, http.StatusConflict, "the call ran, but its answer was too large to keep; look up its result at the service")
	default:
		return Outcome{}, refusal.NewMayHaveRun(refusal.KindAlreadyClaimed, http.StatusConflict, "another try of the call holds its idempotency key and has no recorded answer; send it again later or look up its result at the service").WithRetryAfter(claimedRetryAfter)
	}
}
